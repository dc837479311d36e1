import type { ManagedProcess } from '../cluster/ManagedProcess.js';
import type { JournalRun } from './JournalRun.js';
import type { SoakRelay } from './SoakRelay.js';

/** A backend server of the soak. */
export interface SoakWorker {
  id: string;
  port: number;
  relay: SoakRelay;
  process: ManagedProcess;
  /** Epoch milliseconds of the start of its present life. */
  born: number;
  paused: boolean;
  /** Runs of its former lives. */
  formerRuns: JournalRun[];
}
