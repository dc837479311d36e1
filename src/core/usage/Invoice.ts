import type { InvoiceLine } from './InvoiceLine.js';

/** Use of one workspace in the period from `fromWall` (included) to `toWall` (excluded). */
export interface Invoice {
  workspace: string;
  fromWall: number;
  toWall: number;
  /** Known accelerator-milliseconds of all jobs, with corrections. */
  acceleratorMs: number;
  jobs: { jobId: string; acceleratorMs: number; lines: InvoiceLine[] }[];
  requests: { answered: number; failed: number; unknown: number; busyMs: number };
  /** Intervals in which short requests may have been served that no count names. */
  unknownRequests: { gateway: string; fromWall: number; toWall: number }[];
  /** Intervals of unknown use; not part of any sum. */
  unknown: {
    id: string;
    jobId: string;
    taskId: string;
    accelerators: number;
    fromWall: number;
    toWall: number;
    /** Id of the correction by which the worker's report settles the interval, or null. */
    settledBy: string | null;
  }[];
  /** Tasks that started before the period's end and whose end is not recorded; not in any sum. */
  openTasks: { jobId: string; taskId: string; accelerators: number; startedWall: number }[];
  /** Tasks with a recorded end and no recorded start; not in any sum. */
  tasksWithoutStart: { jobId: string; taskId: string; accelerators: number; endedWall: number }[];
  /** Records dropped because their id had been read before. */
  repeatedRecords: number;
}
