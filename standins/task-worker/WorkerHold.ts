/** A look that waits for an end. */
export interface WorkerHold {
  requestId: string;
  /** Ends up to this number are known to the caller. */
  lastSeen: number;
  dueAt: number;
}
