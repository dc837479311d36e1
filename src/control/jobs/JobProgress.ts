import type { JobState } from './JobState.js';
import type { TaskProgress } from './TaskProgress.js';

/** Progress of a job as the leader stores it for its successors. */
export interface JobProgress {
  state: JobState;
  /** Epoch milliseconds on the leader at which the job ended, or 0. */
  endedAt: number;
  tasks: TaskProgress[];
}
