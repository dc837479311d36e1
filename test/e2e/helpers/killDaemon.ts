import type { Role } from '../../../src/core/Role.js';
import type { OfficeVm } from '../../../tools/office/OfficeVm.js';

/** Ends one daemon of a VM with SIGKILL and waits until it is gone. */
export const killDaemon = async (vm: OfficeVm, role: Role): Promise<void> => {
  const daemon = vm.daemons[role];
  daemon?.signal('SIGKILL');
  await daemon?.ended;
  delete vm.daemons[role];
};
