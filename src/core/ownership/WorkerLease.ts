/** A registered worker of the own zone and this scheduler's lease on it. */
export interface WorkerLease {
  workerId: string;
  status: 'notHeld' | 'claiming' | 'held';
  /** Monotonic send time of the newest acknowledged renewal; -Infinity before the first. */
  renewalSentAt: number;
  /** Monotonic send time of the call in flight, or null. */
  callSentAt: number | null;
  nextCallAt: number;
  /** Monotonic time since which the worker has been seen free to claim, or null. */
  claimableSince: number | null;
  incarnation: string | null;
  leaving: boolean;
  /** Whether, at the newest claim, no other holder was known to the worker since it was registered. */
  soleHolder: boolean;
}
