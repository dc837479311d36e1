import type { JobState } from './JobState.js';
import type { TaskProgress } from './TaskProgress.js';

/** Progress of a job as the leader stores it for its successors. */
export interface JobProgress {
  /** `running` since the first start was recorded, also if no task has begun. */
  state: JobState;
  /** Epoch milliseconds on the leader at which the job ended, or 0. */
  endedAt: number;
  /** Number of the next occurrence to create. */
  nextOccurrence: number;
  /** Numbers of the unfinished occurrences below `nextOccurrence`; the others are done. */
  openOccurrences: number[];
  /** Tasks of unfinished occurrences that were started at least once. */
  tasks: TaskProgress[];
}
