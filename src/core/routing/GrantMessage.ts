/** A scheduler allows one attempt to run on one worker. */
export interface GrantMessage {
  type: 'grant';
  requestId: string;
  attemptId: string;
  workerId: string;
  url: string;
  /**
   * Milliseconds that the request waited at the scheduler; the gateway derives the grant's age from
   * it.
   */
  waitedMs: number;
  /** Milliseconds after the grant within which the dispatch must start. */
  startWithinMs: number;
}
