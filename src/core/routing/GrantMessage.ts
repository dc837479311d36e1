/** A scheduler lets one attempt run on one worker. */
export interface GrantMessage {
  type: 'grant';
  requestId: string;
  attemptId: string;
  workerId: string;
  url: string;
  /** The dispatch must begin within this time after the grant arrived, in milliseconds. */
  startWithinMs: number;
}
