/** Lease of this scheduler on one registered worker of its zone. */
export interface WorkerLease {
  workerId: string;
  /** `notHeld`: free or held by another scheduler; `claiming`: a claim awaits its answer. */
  status: 'notHeld' | 'claiming' | 'held';
  /**
   * Monotonic send time of the newest acknowledged claim or renewal; -Infinity before the first.
   */
  renewalSentAt: number;
  /** Monotonic send time of the call in flight; null if none is. */
  callSentAt: number | null;
  /** Monotonic time of the next probe or renewal. */
  nextCallAt: number;
  /** Monotonic time at which the worker was first seen claimable; null while it is not. */
  claimableSince: number | null;
  /** Process of the worker at the newest claim or renewal; null before the first. */
  incarnation: string | null;
  /** Whether the worker reported that it is about to shut down. */
  leaving: boolean;
  /**
   * Whether, at the newest claim, the worker had been held by no other scheduler since it was
   * registered.
   */
  soleHolder: boolean;
}
