import type { RequestClass } from './RequestClass.js';

/** Parameters of generated load. */
export interface LoadShape {
  seed: number;
  durationMs: number;
  /** Offered work at a time, as a share of the zone's slots on workers of slowness 1. */
  load: (at: number) => number;
  /** Highest value of `load`. */
  maxLoad: number;
  /** Slots of all workers of the zone. */
  slots: number;
  /** Share of the requests that are batch requests. */
  batchShare: number;
  /** Mean service time by class, in milliseconds. */
  meanMs: Record<RequestClass, number>;
  /** Number of batch requests that arrive together. */
  batchSize?: number;
  /** Whether all workspaces have the same demand, instead of one proportional to their weights. */
  equalDemand?: boolean;
  /** Share of the requests that run 50 times longer. */
  stragglerShare?: number;
}
