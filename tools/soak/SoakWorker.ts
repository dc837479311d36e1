import type { ManagedProcess } from '../cluster/ManagedProcess.js';
import type { JournalRun } from './JournalRun.js';
import type { SoakRelay } from './SoakRelay.js';
import type { WorkerRegistration } from './WorkerRegistration.js';

/** A backend server of the soak test. */
export interface SoakWorker {
  id: string;
  /** Port of its own server, behind the relay. */
  port: number;
  relay: SoakRelay;
  process: ManagedProcess;
  /** Start of its current incarnation, in epoch milliseconds. */
  incarnation: number;
  registration: WorkerRegistration;
  /** Whether a fault is in progress at its process. */
  faultInProgress: boolean;
  /** Runs of its earlier incarnations. */
  formerRuns: JournalRun[];
}
