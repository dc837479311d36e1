import type { ManagedProcess } from '../cluster/ManagedProcess.js';

/** A relay in front of one address. */
export interface SoakRelay {
  /** Port that it listens on. */
  port: number;
  /** Port of its control interface, which sets faults. */
  controlPort: number;
  process: ManagedProcess;
}
