import type { ManagedProcess } from '../office/ManagedProcess.js';
import type { JournalRun } from './JournalRun.js';
import type { SoakLink } from './SoakLink.js';

/** A backend server of the soak. */
export interface SoakWorker {
  id: string;
  port: number;
  link: SoakLink;
  process: ManagedProcess;
  /** Epoch milliseconds of the start of its present life. */
  born: number;
  paused: boolean;
  /** Runs of its former lives. */
  formerRuns: JournalRun[];
}
