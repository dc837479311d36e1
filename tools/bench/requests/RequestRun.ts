import type { TimeQueue } from '../TimeQueue.js';
import type { Attempt } from './Attempt.js';
import type { RequestPolicy } from './RequestPolicy.js';
import type { RequestResult } from './RequestResult.js';
import type { RequestRunEvent } from './RequestRunEvent.js';
import type { RetryBudget } from './RetryBudget.js';
import type { WorkerSpec } from './WorkerSpec.js';

/** State of one run: the gateway's open requests and the pending events. */
export interface RequestRun {
  policy: RequestPolicy;
  workers: Map<string, WorkerSpec>;
  events: TimeQueue<RequestRunEvent>;
  /** Requests by ID; `waiting` until the policy starts their current attempt. */
  openRequests: Map<string, { attempt: Attempt; waiting: boolean; usedMs: number }>;
  results: RequestResult[];
  retryBudget: RetryBudget;
  /** Number of requests that have not arrived yet. */
  pendingArrivals: number;
  lastArrivalAt: number;
}
