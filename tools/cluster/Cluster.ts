import type { ManagedProcess } from './ManagedProcess.js';
import type { ClusterSpec } from './ClusterSpec.js';
import type { ClusterVm } from './ClusterVm.js';
import type { ClusterWorker } from './ClusterWorker.js';

/** A running cluster: daemons and stand-ins as separate processes on loopback. */
export interface Cluster {
  spec: ClusterSpec;
  /** Temporary folder with the configuration files. */
  folder: string;
  rootToken: string;
  log: ManagedProcess;
  logPort: number;
  vmList: ManagedProcess;
  vmListPort: number;
  vms: ClusterVm[];
  workers: ClusterWorker[];
}
