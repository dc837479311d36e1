import type { JobState } from './JobState.js';
import type { Submission } from './Submission.js';

/** One job as the journal tells it; its three parts arrive in any order. */
export interface Job {
  id: string;
  submission: Submission | null;
  cancelled: boolean;
  /** State of the job as the lead has published it last. */
  state: JobState;
  /** Epoch milliseconds at the lead when the job ended, or 0. */
  endedAt: number;
  /** Journal offset of the published state; an older record does not replace a newer one. */
  statusOffset: number;
}
