import type { Progress } from './Progress.js';
import type { Submission } from './Submission.js';

/** One job as the journal tells it; its three parts arrive in any order. */
export interface Job {
  id: string;
  submission: Submission | null;
  cancelled: boolean;
  progress: Progress | null;
  /** Journal offset of `progress`; an older record does not replace a newer one. */
  progressOffset: number;
}
