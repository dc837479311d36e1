import type { JobState } from './JobState.js';
import type { Submission } from './Submission.js';

/** A job as read from the journal; its submission, cancellation and status arrive in any order. */
export interface Job {
  id: string;
  /** Null until the submission is read. */
  submission: Submission | null;
  /** Monotonic time at which the submission was last read. */
  submissionReadAt: number;
  /** Epoch milliseconds at which the job was cancelled, which may be before its submission; null if it wasn't. */
  cancelledAt: number | null;
  /** State last published by the leader. */
  state: JobState;
  /** Epoch milliseconds on the leader at which the job ended, or 0. */
  endedAt: number;
  /** Journal offset of the last status record, or -1; records at lower offsets are ignored. */
  statusOffset: number;
}
