import type { GeneratedRequest } from './GeneratedRequest.js';
import type { WorkerSpec } from './WorkerSpec.js';

/** Load and workers of one run, the same for every policy. */
export interface RequestScenario {
  requests: GeneratedRequest[];
  workers: WorkerSpec[];
  /** Weight of each workspace. */
  weights: Record<string, number>;
  /** Limit of the waiting requests of each workspace. */
  maxQueuedRequests: number;
  /** Time at which waiting requests marked `cancelsIfWaiting` are cancelled, or null. */
  cancelAt: number | null;
}
