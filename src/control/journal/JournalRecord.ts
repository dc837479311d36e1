import type { JobState } from '../jobs/JobState.js';
import type { Submission } from '../jobs/Submission.js';

/** A record of the journal, which every VM follows; of equal keys only the newest is kept. */
export type JournalRecord =
  | { type: 'submission'; submission: Submission }
  | { type: 'cancellation'; id: string; at: number }
  /** What callers see of a job; `endedAt` is 0 until it has ended. */
  | { type: 'status'; id: string; state: JobState; endedAt: number }
  | { type: 'lead'; token: number; vmId: string; resigned: boolean }
  | {
      type: 'dropped';
      recordType: 'submission' | 'cancellation' | 'status' | 'progress' | 'usage';
      id: string;
    };
