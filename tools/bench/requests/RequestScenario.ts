import type { GeneratedRequest } from './GeneratedRequest.js';
import type { WorkerSpec } from './WorkerSpec.js';

/** Load and workers of one run, the same for every policy. */
export interface RequestScenario {
  requests: GeneratedRequest[];
  workers: WorkerSpec[];
  weights: Record<string, number>;
  maxQueuedRequests: number;
  /** Time at which waiting requests marked `cancelsIfWaiting` are cancelled, or null. */
  cancelAt: number | null;
}
