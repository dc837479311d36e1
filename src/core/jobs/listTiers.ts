import type { CapacityTier } from './CapacityTier.js';
import type { Job } from './Job.js';

/** Lists the tiers in which a job may start, preferred first; only preemptible jobs may borrow. */
export const listTiers = ({ spec }: Job): CapacityTier[] =>
  spec.preemptible ? ['own', 'unassigned', 'lent'] : ['own', 'unassigned'];
