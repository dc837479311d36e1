/** A read that waits for a record. */
export interface StorePoll {
  requestId: string;
  topic: string;
  fromOffset: number;
  /** Monotonic time at which it is answered in any case. */
  dueAt: number;
}
