import type { ClusterVm } from './ClusterVm.js';

/** Kills all daemons of a VM with SIGKILL and waits until they have exited. */
export const killVm = async (vm: ClusterVm): Promise<void> => {
  const daemons = Object.values(vm.daemons);
  daemons.forEach((daemon) => daemon.signal('SIGKILL'));
  await Promise.all(daemons.map((daemon) => daemon.exited));
  vm.daemons = {};
};
