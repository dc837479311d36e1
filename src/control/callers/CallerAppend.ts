import type { JournalRecord } from '../journal/JournalRecord.js';

/** An append of a submission or cancellation that has not been answered yet. */
export interface CallerAppend {
  /** Call ID of the current attempt, or 0 before the first. */
  appendId: number;
  record: JournalRecord;
  jobId: string;
  /** Requests that wait for this append. */
  requestIds: number[];
  /** Monotonic time of the first attempt. */
  firstAttemptAt: number;
  /** Monotonic time of the next attempt, or null while one is in flight. */
  nextAttemptAt: number | null;
  /** Whether an earlier attempt may have taken effect without an answer. */
  hasUnknownOutcome: boolean;
}
