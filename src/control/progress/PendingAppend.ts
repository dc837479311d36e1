import type { JournalRecord } from '../journal/JournalRecord.js';
import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Task } from '../plans/Task.js';
import type { LeaderStream } from './LeaderStream.js';

/** An append of the leader without an answer; retried unchanged until it is answered. */
export interface PendingAppend {
  stream: LeaderStream;
  /** Call ID of the current attempt, or 0 before the first. */
  appendId: number;
  records: (JournalRecord | RunsRecord)[];
  /** Sequence number, equal in all attempts, by which the store recognizes a retry. */
  sequence: number;
  /** Starts to send once the append succeeds. */
  startsToSend: { task: Task; run: number }[];
  /** Run ends to acknowledge once the append succeeds: the last end number of each worker. */
  endsToAcknowledge: { workerId: string; incarnation: number; endNumber: number }[];
  /** Monotonic time of the first attempt. */
  firstAttemptAt: number;
  /** The same in responsive time. */
  firstAttemptResponsiveAt: number;
  /** Monotonic time of the next attempt, or null while one is in flight. */
  nextAttemptAt: number | null;
}
