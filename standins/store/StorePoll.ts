/** A read that waits for new records. */
export interface StorePoll {
  requestId: string;
  topic: string;
  fromOffset: number;
  /** Monotonic time at which it is answered at the latest. */
  dueAt: number;
}
