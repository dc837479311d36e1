import type { Estimate } from './Estimate.js';

/** What a term has learned about a worker's speed. */
export interface WorkerSpeed {
  workerId: string;
  logSlowdown: Estimate;
}
