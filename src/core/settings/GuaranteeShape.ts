import type { Adjacency } from './Adjacency.js';

/** Capacity that a workspace can always reclaim: whole shapes, not a count. */
export interface GuaranteeShape {
  zone: string;
  workers: number;
  acceleratorsPerWorker: number;
  adjacency: Adjacency;
}
