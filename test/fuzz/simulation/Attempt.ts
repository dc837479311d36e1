/** One attempt that a gateway dispatched to a fake worker. */
export interface Attempt {
  attemptId: string;
  requestId: string;
  workerId: string;
  /** Progress of the attempt, as an `attemptFailed` event would report it. */
  phase: 'notSent' | 'sent' | 'headers';
  /** HTTP status of the answer; 0 before its headers. */
  status: number;
  /** Whether the gateway has started to relay the answer to the caller. */
  relayed: boolean;
  /** Whether the worker's complete answer has arrived at the gateway. */
  complete: boolean;
  /** Whether the gateway has abandoned the attempt. */
  aborted: boolean;
}
