import type { InvoiceLine } from './InvoiceLine.js';

/**
 * Usage of one workspace from `fromWall` (included) to `toWall` (excluded), in epoch milliseconds.
 */
export interface Invoice {
  workspace: string;
  fromWall: number;
  toWall: number;
  /** Known accelerator-milliseconds of all jobs, including corrections. */
  acceleratorMs: number;
  jobs: { jobId: string; acceleratorMs: number; lines: InvoiceLine[] }[];
  /** Short requests by outcome; `busyMs` is the sum of their durations. */
  requests: { answered: number; failed: number; unknown: number; busyMs: number };
  /** Intervals with short requests that may be missing from `requests`. */
  unknownRequests: { gateway: string; fromWall: number; toWall: number }[];
  /** Intervals of unknown accelerator usage; not included in any sum. */
  unknown: {
    id: string;
    jobId: string;
    taskId: string;
    accelerators: number;
    fromWall: number;
    toWall: number;
    /** Id of the correction that replaces the interval by the worker's report; null without one. */
    settledBy: string | null;
  }[];
  /** Tasks started before the period's end without a recorded end; not included in any sum. */
  openTasks: { jobId: string; taskId: string; accelerators: number; startedWall: number }[];
  /** Tasks with a recorded end and no recorded start; not included in any sum. */
  tasksWithoutStart: { jobId: string; taskId: string; accelerators: number; endedWall: number }[];
  /** Number of records dropped because their id occurred before. */
  repeatedRecords: number;
}
