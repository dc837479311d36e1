/** A hold call that waits for the next end of a run. */
export interface PendingHold {
  requestId: string;
  /** Sequence number of the last end that the caller knows. */
  lastSeen: number;
  /** Monotonic time at which it is answered at the latest. */
  dueAt: number;
}
