/** A request that a worker began to run. */
export interface RunRecord {
  requestId: string;
  attemptId: string;
  workerId: string;
  at: number;
}
