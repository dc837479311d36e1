import type { JobState } from '../jobs/JobState.js';
import type { Submission } from '../jobs/Submission.js';
import type { ProgressRecordName } from './ProgressRecordName.js';

/** A record of the journal, which every VM follows; the store keeps the newest record of each key. */
export type JournalRecord =
  | { type: 'submission'; submission: Submission }
  /** `at` is in epoch milliseconds. */
  | { type: 'cancellation'; id: string; at: number }
  /** Published state of a job; `endedAt` is in epoch milliseconds, 0 until the job has ended. */
  | { type: 'status'; id: string; state: JobState; endedAt: number }
  /** Heartbeat of the leader. */
  | { type: 'lead'; token: number; vmId: string; resigned: boolean }
  /** Tombstone of the record of that type and ID. */
  | {
      type: 'dropped';
      recordType:
        'submission' | 'cancellation' | 'status' | 'usage' | ProgressRecordName['recordType'];
      id: string;
    };
