import type { CapacityTier } from './CapacityTier.js';
import type { Job } from './Job.js';

/** Tiers in which a job may start, most preferred first; only preemptible jobs may borrow. */
export const listTiers = ({ spec }: Job): CapacityTier[] =>
  spec.preemptible ? ['own', 'unassigned', 'lent'] : ['own', 'unassigned'];
