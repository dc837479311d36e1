/** One attempt that a gateway dispatched to a fake worker. */
export interface Attempt {
  attemptId: string;
  requestId: string;
  workerId: string;
  phase: 'notSent' | 'sent' | 'headers';
  status: number;
  relayed: boolean;
  /** Whether the worker's complete answer has arrived at the gateway. */
  complete: boolean;
  aborted: boolean;
}
