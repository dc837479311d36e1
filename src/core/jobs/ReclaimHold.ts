/** Capacity kept for one queued job while borrowers leave it. */
export interface ReclaimHold {
  workspace: string;
  /** Worker of each part. */
  workers: string[];
  acceleratorsPerTask: number;
  /** Monotonic time at which the reclaim began. */
  startedAt: number;
}
