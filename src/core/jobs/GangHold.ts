/** Capacity kept for one queued job while borrowers leave it. */
export interface GangHold {
  workspace: string;
  /** Worker of each part. */
  workers: string[];
  acceleratorsPerTask: number;
  /** Monotonic time at which the reclaim began. */
  at: number;
}
