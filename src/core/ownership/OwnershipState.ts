import type { WorkerLease } from './WorkerLease.js';

/** Leases of a scheduler on the workers of its zone. */
export interface OwnershipState {
  leases: Map<string, WorkerLease>;
  /** Whether the last evaluation found a majority; decisions call `isLead` instead. */
  lead: boolean;
  leadSince: number;
}
