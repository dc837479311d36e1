/** A hold call that waits for the next end of a run. */
export interface PendingHold {
  requestId: string;
  /** Sequence number of the last acknowledged end; a higher one ends the wait. */
  lastSeen: number;
  /** Monotonic time at which it is answered at the latest. */
  dueAt: number;
}
