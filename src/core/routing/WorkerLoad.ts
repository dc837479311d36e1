/** What a scheduler has observed of one worker. */
export interface WorkerLoad {
  workerId: string;
  /** Attempt ids of granted and not yet released attempts. */
  grants: Set<string>;
  /** Attempts that the worker was serving for another scheduler when it was claimed. */
  inherited: Set<string>;
  completed: number;
  /** Moving average of service time by class, in milliseconds. */
  meanMsByClass: Map<string, number>;
  meanMs: number | null;
  consecutiveFailures: number;
  /** No grant before this monotonic time, except one probe request. */
  suspectUntil: number;
  backoffMs: number;
}
