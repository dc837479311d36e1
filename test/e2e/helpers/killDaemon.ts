import type { Role } from '../../../src/core/Role.js';
import type { ClusterVm } from '../../../tools/cluster/ClusterVm.js';

/** Kills one daemon of a VM with SIGKILL and waits until it has exited. */
export const killDaemon = async (vm: ClusterVm, role: Role): Promise<void> => {
  const daemon = vm.daemons[role];
  daemon?.signal('SIGKILL');
  await daemon?.exited;
  delete vm.daemons[role];
};
