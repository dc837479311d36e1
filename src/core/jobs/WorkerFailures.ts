/** Task failures of one worker since its last success. */
export interface WorkerFailures {
  /** Jobs that failed on the worker; one bad job counts once. */
  jobIds: Set<string>;
  /** Monotonic time until which no gang is placed on the worker. */
  avoidUntil: number;
  backoffMs: number;
}
