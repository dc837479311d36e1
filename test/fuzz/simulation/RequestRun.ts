/** The start of a request on a worker. */
export interface RequestRun {
  requestId: string;
  attemptId: string;
  workerId: string;
  at: number;
}
