import type { ManagedProcess } from './ManagedProcess.js';
import type { OfficeSpec } from './OfficeSpec.js';
import type { OfficeVm } from './OfficeVm.js';
import type { OfficeWorker } from './OfficeWorker.js';

/** A whole office of separate processes on loopback. */
export interface Office {
  spec: OfficeSpec;
  folder: string;
  rootToken: string;
  log: ManagedProcess;
  logPort: number;
  vmList: ManagedProcess;
  vmListPort: number;
  vms: OfficeVm[];
  workers: OfficeWorker[];
}
