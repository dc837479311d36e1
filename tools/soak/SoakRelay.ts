import type { ManagedProcess } from '../cluster/ManagedProcess.js';

/** A relay in front of one address. */
export interface SoakRelay {
  /** Port that it listens at. */
  port: number;
  /** Port at which its faults are set. */
  controlPort: number;
  process: ManagedProcess;
}
