import { createTimeQueue } from '../createTimeQueue.js';
import { createRetryBudget } from './createRetryBudget.js';
import type { RequestPolicy } from './RequestPolicy.js';
import type { RequestResult } from './RequestResult.js';
import type { RequestRun } from './RequestRun.js';
import type { RequestScenario } from './RequestScenario.js';
import type { RequestStep } from './RequestStep.js';
import { requestSteps } from './requestSteps.js';

type StepHandler = (run: RequestRun, step: RequestStep, at: number) => void;

/** Runs a scenario against a policy on virtual time and returns how each request ended. */
export const runRequests = (scenario: RequestScenario, policy: RequestPolicy): RequestResult[] => {
  const { requests, workers, cancelAt } = scenario;
  const run: RequestRun = {
    policy,
    workers: new Map(workers.map((worker) => [worker.id, worker])),
    steps: createTimeQueue(),
    open: new Map(),
    results: [],
    budget: createRetryBudget(),
    unborn: requests.length,
    lastArrivalAt: requests.at(-1)?.at ?? 0,
  };
  requests.forEach((request) => {
    const deadlineAt = request.at + request.timeoutMs;
    const attempt = { request, attempt: 1, deadlineAt, avoid: [] };
    run.steps.push(request.at, { type: 'arrive', attempt });
  });
  if (cancelAt !== null) run.steps.push(cancelAt, { type: 'cancel' });
  run.steps.push(0, { type: 'tick' });
  for (let next = run.steps.pop(); next; next = run.steps.pop()) {
    // The table's type ties each handler to its step type; the look-up erases that tie.
    (requestSteps[next.item.type] as StepHandler)(run, next.item, next.at);
  }
  return run.results;
};
