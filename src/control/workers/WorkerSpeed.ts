import type { Estimate } from './Estimate.js';

/** The estimated speed of a worker, as stored for the next leader. */
export interface WorkerSpeed {
  workerId: string;
  /** Logarithm of its run times over those of a typical worker. */
  logSlowdown: Estimate;
}
