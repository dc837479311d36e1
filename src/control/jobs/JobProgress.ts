import type { JobState } from './JobState.js';
import type { TaskProgress } from './TaskProgress.js';

/** What the lead has written about a job. */
export interface JobProgress {
  state: JobState;
  /** Epoch milliseconds at the lead when the job ended, or 0. */
  endedAt: number;
  tasks: TaskProgress[];
}
