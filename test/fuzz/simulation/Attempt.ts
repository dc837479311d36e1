/** One dispatch of a gateway's adapter to a fake worker. */
export interface Attempt {
  attemptId: string;
  requestId: string;
  workerId: string;
  phase: 'notSent' | 'sent' | 'headers';
  status: number;
  relayed: boolean;
  /** Whether the worker's whole answer has arrived at the gateway. */
  complete: boolean;
  aborted: boolean;
}
