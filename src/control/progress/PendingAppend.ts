import type { Task } from '../plans/Task.js';
import type { AppendUnit } from './AppendUnit.js';
import type { LeaderStream } from './LeaderStream.js';

/** An append of the leader that is not answered yet; retried unchanged until it is answered. */
export interface PendingAppend {
  stream: LeaderStream;
  /** Call ID of the current attempt, or 0 before the first. */
  appendId: number;
  units: AppendUnit[];
  /** Sequence number, equal in all attempts, by which the store recognizes a retry; assigned before the first. */
  sequence: number;
  /** Starts to send once the append succeeds. */
  startsToSend: { task: Task; run: number }[];
  /** Run ends to acknowledge once the append succeeds: the last end number of each worker. */
  endsToAcknowledge: { workerId: string; incarnation: number; endNumber: number }[];
  /** Monotonic time at which it was created; its first attempt follows once the appends before it have succeeded. */
  createdAt: number;
  /** The same in responsive time. */
  createdResponsiveAt: number;
  /** Monotonic time of the next attempt, or null while one is in flight. */
  nextAttemptAt: number | null;
}
