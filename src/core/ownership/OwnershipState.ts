import type { WorkerLease } from './WorkerLease.js';

/** Leases of a scheduler on the workers of its zone. */
export interface OwnershipState {
  leases: Map<string, WorkerLease>;
  /** Whether the last evaluation found a majority; decisions call `isLead` instead. */
  lead: boolean;
  leadSince: number;
  /**
   * Monotonic time at which this process saw the zone's first workers appear in the settings, or
   * null when they were registered before it knew the tree.
   */
  lastWithoutWorkersAt: number | null;
}
