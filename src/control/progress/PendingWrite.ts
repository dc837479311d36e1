import type { JournalRecord } from '../journal/JournalRecord.js';
import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Task } from '../plans/Task.js';
import type { LeadStream } from './LeadStream.js';

/** An append of the lead whose answer is open; it is repeated unchanged until it is answered. */
export interface PendingWrite {
  stream: LeadStream;
  appendId: number;
  records: (JournalRecord | RunsRecord)[];
  sequence: number;
  /** Starts that may be sent when the append is done. */
  starts: { task: Task; run: number }[];
  /** Ends that may be acknowledged when the append is done. */
  ends: { workerId: string; born: number; number: number }[];
  /** Monotonic time of the first attempt. */
  firstAt: number;
  /** Monotonic time of the next attempt, or null while one is open. */
  retryAt: number | null;
}
