import type { ManagedProcess } from '../cluster/ManagedProcess.js';
import type { JournalRun } from './JournalRun.js';
import type { SoakRelay } from './SoakRelay.js';

/** A backend server of the soak test. */
export interface SoakWorker {
  id: string;
  port: number;
  relay: SoakRelay;
  process: ManagedProcess;
  /** Start of its current incarnation, in epoch milliseconds. */
  incarnation: number;
  paused: boolean;
  /** Runs of its earlier incarnations. */
  formerRuns: JournalRun[];
}
