import type { JournalRecord } from '../journal/JournalRecord.js';
import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Task } from '../plans/Task.js';
import type { LeaderStream } from './LeaderStream.js';

/** An append of the lead whose answer is open; it is repeated unchanged until it is answered. */
export interface PendingAppend {
  stream: LeaderStream;
  appendId: number;
  records: (JournalRecord | RunsRecord)[];
  sequence: number;
  /** Starts that may be sent when the append is done. */
  startsToSend: { task: Task; run: number }[];
  /** Ends that may be acknowledged when the append is done. */
  endsToAcknowledge: { workerId: string; incarnation: number; number: number }[];
  /** Monotonic time of the first attempt. */
  firstAttemptAt: number;
  /** Monotonic time of the next attempt, or null while one is open. */
  nextAttemptAt: number | null;
}
