/** A read that waits for records (long poll). */
export interface LogPoll {
  stream: string;
  from: number;
  limit: number;
  /** Monotonic time at which it is answered in any case. */
  dueAt: number;
}
