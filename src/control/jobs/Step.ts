import type { Resources } from '../Resources.js';

/** A group of identical tasks of a job. */
export interface Step {
  /** Number of tasks. */
  count: number;
  /** Resources that each task needs. */
  need: Resources;
  /** Declared run time of one task: a rough estimate by the caller. */
  estimateMs: number;
  /** Indexes of the steps that must be finished first. */
  after: number[];
  /** Whether the tasks start and end together. */
  gang: boolean;
  /** Whether the tasks run slowly if they are spread over several racks. */
  sameRack: boolean;
  /** Whether the tasks write checkpoints from which a later run can resume. */
  checkpointing: boolean;
  /** Label that a worker must have, or empty. */
  requiredLabel: string;
  /** Rack that holds the input data, or empty. */
  dataRack: string;
  /** Maximum number of tasks of the step on one worker; 0 means no limit. */
  maxPerWorker: number;
  /** Whether copies of a task may run in parallel. */
  speculative: boolean;
  /** Whether the tasks run until the job is cancelled. */
  longRunning: boolean;
  /** Whether the tasks use only CPU that other tasks leave idle. */
  fills: boolean;
}
