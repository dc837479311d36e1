/** A request that a worker began to run. */
export interface RequestRun {
  requestId: string;
  attemptId: string;
  workerId: string;
  at: number;
}
