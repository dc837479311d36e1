/** Task failures on one worker since a task last finished there. */
export interface WorkerFailures {
  /** Ids of the jobs that failed on the worker; a set, so that one faulty job counts once. */
  jobIds: Set<string>;
  /** Monotonic milliseconds until which no gang is placed on the worker; -Infinity at first. */
  avoidUntil: number;
  /** How long the worker will be avoided after the next failure, in milliseconds. */
  backoffMs: number;
}
