import type { TimeQueue } from '../TimeQueue.js';
import type { Attempt } from './Attempt.js';
import type { RequestPolicy } from './RequestPolicy.js';
import type { RequestResult } from './RequestResult.js';
import type { RequestStep } from './RequestStep.js';
import type { RetryBudget } from './RetryBudget.js';
import type { WorkerSpec } from './WorkerSpec.js';

/** State of one run: the gateway's open requests and the events to come. */
export interface RequestRun {
  policy: RequestPolicy;
  workers: Map<string, WorkerSpec>;
  steps: TimeQueue<RequestStep>;
  open: Map<string, { attempt: Attempt; waiting: boolean; usedMs: number }>;
  results: RequestResult[];
  budget: RetryBudget;
  /** Number of requests that have not arrived yet. */
  unborn: number;
  lastArrivalAt: number;
}
