import type { WorkerLease } from './WorkerLease.js';

/** Leases of a scheduler on the workers of its zone. */
export interface OwnershipState {
  /** Leases on all registered workers of the zone, by worker id. */
  leases: Map<string, WorkerLease>;
  /** Whether this scheduler was lead at the last evaluation; decisions call `isLead` instead. */
  lead: boolean;
  /** Monotonic time at which this scheduler last became lead; 0 before the first time. */
  leadSince: number;
  /**
   * Monotonic time of the newest settings in which the zone had no workers. All its workers were
   * registered after that time. Null if the zone had workers in every tree that this process saw.
   */
  lastWithoutWorkersAt: number | null;
}
