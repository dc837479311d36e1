import type { Resources } from '../Resources.js';

/** A group of equal tasks of a job. */
export interface Step {
  count: number;
  need: Resources;
  /** The caller's rough estimate of one task's run time. */
  estimateMs: number;
  /** Indexes of the steps whose tasks must all be done first. */
  after: number[];
  /** The tasks start together and end together. */
  gang: boolean;
  /** The tasks are slow when they run on more than one rack. */
  sameRack: boolean;
  checkpointing: boolean;
  /** Label that a worker must have, or empty. */
  requiredLabel: string;
  /** Rack that holds the data, or empty. */
  dataRack: string;
  /** At most this many tasks of the step on one worker; 0 is no limit. */
  maxPerWorker: number;
  /** Copies of a task may run side by side. */
  speculative: boolean;
  /** The tasks run until the job is cancelled. */
  longRunning: boolean;
  /** The tasks use only capacity that others leave unused. */
  fills: boolean;
}
