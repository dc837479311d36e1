import { createTimeQueue } from '../createTimeQueue.js';
import { createRetryBudget } from './createRetryBudget.js';
import type { RequestPolicy } from './RequestPolicy.js';
import type { RequestResult } from './RequestResult.js';
import type { RequestRun } from './RequestRun.js';
import type { RequestScenario } from './RequestScenario.js';
import type { RequestRunEvent } from './RequestRunEvent.js';
import { requestRunHandlers } from './requestRunHandlers.js';

type RunEventHandler = (run: RequestRun, event: RequestRunEvent, at: number) => void;

/** Runs a scenario against a policy in virtual time and returns the outcome of each request. */
export const runRequests = (scenario: RequestScenario, policy: RequestPolicy): RequestResult[] => {
  const { requests, workers, cancelAt } = scenario;
  const run: RequestRun = {
    policy,
    workers: new Map(workers.map((worker) => [worker.id, worker])),
    events: createTimeQueue(),
    openRequests: new Map(),
    results: [],
    retryBudget: createRetryBudget(),
    pendingArrivals: requests.length,
    lastArrivalAt: requests.at(-1)?.arrivalAt ?? 0,
  };
  requests.forEach((request) => {
    const deadlineAt = request.arrivalAt + request.timeoutMs;
    const attempt = { request, number: 1, deadlineAt, avoid: [] };
    run.events.push(request.arrivalAt, { type: 'arrive', attempt });
  });
  if (cancelAt !== null) run.events.push(cancelAt, { type: 'cancel' });
  run.events.push(0, { type: 'tick' });
  for (let next = run.events.pop(); next; next = run.events.pop()) {
    // Each handler takes events of its own type, but TypeScript cannot infer that for a lookup by type.
    (requestRunHandlers[next.item.type] as RunEventHandler)(run, next.item, next.at);
  }
  return run.results;
};
