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
  /** Moving average of service time over all classes, in milliseconds; null before the first. */
  meanServiceMs: number | null;
  /** Failed attempts since the last answer. */
  consecutiveFailures: number;
  /**
   * Monotonic time before which a worker with many failures gets no grant; afterwards it gets one
   * probe request at a time.
   */
  suspectUntil: number;
  /** Pause after the newest failure, in milliseconds; 0 after an answer. */
  backoffMs: number;
}
