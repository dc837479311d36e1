/** A look that waits for an end. */
export interface PendingHold {
  requestId: string;
  /** Ends up to this number are known to the caller. */
  lastSeen: number;
  dueAt: number;
}
