/** Capacity kept for one queued job while the gangs that borrow it are stopped. */
export interface ReclaimHold {
  workspace: string;
  /** Worker ids by part index; a worker occurs once for each of its parts. */
  workers: string[];
  acceleratorsPerTask: number;
  /** Monotonic time in milliseconds at which the reclaim began. */
  startedAt: number;
}
