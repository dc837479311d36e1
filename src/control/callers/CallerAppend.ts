import type { JournalRecord } from '../journal/JournalRecord.js';

/** A submission or cancellation that is being written. */
export interface CallerAppend {
  appendId: number;
  record: JournalRecord;
  jobId: string;
  requests: number[];
  firstAt: number;
  /** Monotonic time of the next attempt, or null while one is open. */
  retryAt: number | null;
  /** Some attempt may have been done without an answer. */
  uncertain: boolean;
}
