/** A read that waits for records (long poll). */
export interface LogPoll {
  stream: string;
  /** Offset of the first record to read. */
  from: number;
  /** Maximum number of records in the answer. */
  limit: number;
  /** Monotonic time at which it is answered at the latest. */
  dueAt: number;
}
