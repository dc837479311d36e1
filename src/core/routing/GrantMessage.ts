/** A scheduler lets one attempt run on one worker. */
export interface GrantMessage {
  type: 'grant';
  requestId: string;
  attemptId: string;
  workerId: string;
  url: string;
  /** Time that the request waited at the scheduler, so that the gateway knows the grant's age. */
  waitedMs: number;
  /** The dispatch must begin within this time after the grant was given, in milliseconds. */
  startWithinMs: number;
}
