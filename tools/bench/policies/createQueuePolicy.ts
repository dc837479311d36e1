import type { Attempt } from '../requests/Attempt.js';
import type { Decision } from '../requests/Decision.js';
import type { RequestPolicy } from '../requests/RequestPolicy.js';
import type { RequestScenario } from '../requests/RequestScenario.js';
import type { WorkerSpec } from '../requests/WorkerSpec.js';
import type { BaselineWorker } from './BaselineWorker.js';
import { isFree } from './isFree.js';
import type { QueueRules } from './QueueRules.js';

const getAttemptId = (attempt: Attempt): string => `${attempt.request.id}.${attempt.number}`;

const createWorker = (spec: WorkerSpec): BaselineWorker => ({
  spec,
  running: new Map(),
  completed: 0,
  failedAt: [],
});

const refuseAttempt = ({ request }: Attempt): Decision => ({
  type: 'refuse',
  requestId: request.id,
});

/** Creates a baseline policy: a queue with the scheduler's limits and deadlines, and the given rules. */
export const createQueuePolicy = (scenario: RequestScenario, rules: QueueRules): RequestPolicy => {
  const workers = scenario.workers.map(createWorker);
  const workersById = new Map(workers.map((worker) => [worker.spec.id, worker]));
  let waiting: Attempt[] = [];

  const assignWaiting = (at: number): Decision[] => {
    const decisions: Decision[] = [];
    if (waiting.length === 0 || !workers.some(isFree)) return decisions;
    rules.sortWaiting?.(waiting);
    rules.beginPass?.(workers, at);
    const stillWaiting: Attempt[] = [];
    waiting.forEach((attempt) => {
      const worker = workers.some(isFree) ? rules.chooseWorker(workers, attempt, at) : null;
      if (!worker) {
        stillWaiting.push(attempt);
        return;
      }
      const { request } = attempt;
      worker.running.set(getAttemptId(attempt), at + request.serviceMs * worker.spec.slowness);
      const { id: workerId } = worker.spec;
      decisions.push({ type: 'start', requestId: request.id, attempt: attempt.number, workerId });
    });
    waiting = stillWaiting;
    return decisions;
  };
  const isQueueFull = (workspace: string): boolean =>
    waiting.filter(({ request }) => request.workspace === workspace).length >=
    scenario.maxQueuedRequests;

  return {
    offer: (attempt, at) => {
      if (isQueueFull(attempt.request.workspace)) {
        return [refuseAttempt(attempt)];
      }
      waiting.push(attempt);
      return assignWaiting(at);
    },
    release: (attempt, workerId, outcome, _elapsedMs, at) => {
      const worker = workersById.get(workerId)!;
      worker.running.delete(getAttemptId(attempt));
      if (outcome === 'answered') worker.completed += 1;
      else if (outcome !== 'unused') worker.failedAt.push(at);
      return assignWaiting(at);
    },
    cancel: (attempt, at) => {
      waiting = waiting.filter(({ request }) => request.id !== attempt.request.id);
      return assignWaiting(at);
    },
    tick: (at) => {
      const expired = waiting.filter(({ deadlineAt }) => at >= deadlineAt);
      waiting = waiting.filter(({ deadlineAt }) => at < deadlineAt);
      const refusals = expired.map(({ request }): Decision => ({
        type: 'refuse',
        requestId: request.id,
      }));
      return [...refusals, ...assignWaiting(at)];
    },
  };
};
