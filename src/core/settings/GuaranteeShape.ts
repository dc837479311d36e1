import type { Adjacency } from './Adjacency.js';

/**
 * Capacity that a workspace can always reclaim, as a shape of workers instead of a number of
 * accelerators.
 */
export interface GuaranteeShape {
  zone: string;
  workers: number;
  acceleratorsPerWorker: number;
  adjacency: Adjacency;
}
