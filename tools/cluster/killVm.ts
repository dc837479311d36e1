import type { ClusterVm } from './ClusterVm.js';

/** Ends all daemons of a VM with SIGKILL and waits until they are gone. */
export const killVm = async (vm: ClusterVm): Promise<void> => {
  const daemons = Object.values(vm.daemons);
  daemons.forEach((daemon) => daemon.signal('SIGKILL'));
  await Promise.all(daemons.map((daemon) => daemon.exited));
  vm.daemons = {};
};
