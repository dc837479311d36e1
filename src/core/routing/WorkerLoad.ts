/** What a scheduler has observed of one worker. */
export interface WorkerLoad {
  workerId: string;
  /** Attempt ids of granted and not yet released attempts. */
  grantedAttempts: Set<string>;
  /** Attempts that the worker was serving for another scheduler when it was claimed. */
  inheritedAttempts: Set<string>;
  completedRequests: number;
  /** Moving average of service time by class, in milliseconds. */
  meanMsByClass: Map<string, number>;
  meanServiceMs: number | null;
  consecutiveFailures: number;
  /** No grant before this monotonic time, except one probe request. */
  suspectUntil: number;
  backoffMs: number;
}
