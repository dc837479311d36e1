import type { ManagedProcess } from '../../../tools/cluster/ManagedProcess.js';
import type { Cluster } from '../../../tools/cluster/Cluster.js';

/** Lists the processes of a cluster, without daemons that a test removed from their VM. */
export const listAllProcesses = (cluster: Cluster): ManagedProcess[] => [
  ...cluster.vms.flatMap((vm) => Object.values(vm.daemons)),
  cluster.log,
  cluster.vmList,
  ...cluster.workers.map(({ process }) => process),
];
