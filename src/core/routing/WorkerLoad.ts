/** Load and service times of one worker as its scheduler has observed them. */
export interface WorkerLoad {
  workerId: string;
  /** Ids of granted and not yet released attempts. */
  grantedAttempts: Set<string>;
  /**
   * Ids of attempts that the worker already served under its earlier holder when it was claimed.
   */
  inheritedAttempts: Set<string>;
  /** Number of answered attempts. */
  completedRequests: number;
  /** Moving average of service time by class, in milliseconds. */
  meanMsByClass: Map<string, number>;
  /** Moving average of service time over all classes, in milliseconds; null without an answer. */
  meanServiceMs: number | null;
  /** Failed attempts since the last answer. */
  consecutiveFailures: number;
  /**
   * Monotonic time before which a worker with many failures gets no grant; then one probe request.
   */
  suspectUntil: number;
  /** Pause after the newest failure; 0 after an answer. */
  backoffMs: number;
}
