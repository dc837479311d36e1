import type { ManagedProcess } from '../office/ManagedProcess.js';
import type { JournalRun } from './JournalRun.js';
import type { SoakRelay } from './SoakRelay.js';

/** A backend server of the soak. */
export interface SoakWorker {
  id: string;
  port: number;
  link: SoakRelay;
  process: ManagedProcess;
  /** Epoch milliseconds of the start of its present life. */
  born: number;
  paused: boolean;
  /** Runs of its former lives. */
  formerRuns: JournalRun[];
}
