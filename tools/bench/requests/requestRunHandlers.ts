import { applyDecisions } from './applyDecisions.js';
import { closeRequest } from './closeRequest.js';
import type { RequestRun } from './RequestRun.js';
import type { RequestRunEvent } from './RequestRunEvent.js';

type RunEventOf<T extends RequestRunEvent['type']> = Extract<RequestRunEvent, { type: T }>;

// Same as the tick interval of the daemons.
const tickIntervalMs = 100;

const finishAttempt = (run: RequestRun, event: RunEventOf<'end'>, at: number): void => {
  const { attempt, workerId, outcome, startedAt } = event;
  const { id } = attempt.request;
  const openRequest = run.openRequests.get(id)!;
  openRequest.usedMs += Math.max(0, Math.min(at, run.lastArrivalAt) - startedAt);
  const decisions = run.policy.release(attempt, workerId, outcome, at - startedAt, at);
  if (outcome === 'answered') closeRequest(run, id, 'answered', at);
  else if (at >= attempt.deadlineAt) closeRequest(run, id, 'late', at);
  else if (!run.retryBudget.takeRetry(at)) closeRequest(run, id, 'failed', at);
  else {
    const avoid = [...attempt.avoid, workerId];
    openRequest.attempt = { ...attempt, number: attempt.number + 1, avoid };
    openRequest.waiting = true;
    decisions.push(...run.policy.offer(openRequest.attempt, at));
  }
  applyDecisions(run, decisions, at);
};

/** Handlers of the events of a request run, by event type. */
export const requestRunHandlers: {
  [T in RequestRunEvent['type']]: (run: RequestRun, event: RunEventOf<T>, at: number) => void;
} = {
  arrive: (run, { attempt }, at) => {
    run.pendingArrivals -= 1;
    run.retryBudget.countRequest(at);
    run.openRequests.set(attempt.request.id, { attempt, waiting: true, usedMs: 0 });
    applyDecisions(run, run.policy.offer(attempt, at), at);
  },
  end: finishAttempt,
  cancel: (run, _event, at) =>
    [...run.openRequests.values()]
      .filter(({ attempt, waiting }) => waiting && attempt.request.cancelsIfWaiting)
      .forEach(({ attempt }) => {
        closeRequest(run, attempt.request.id, 'cancelled', at);
        applyDecisions(run, run.policy.cancel(attempt, at), at);
      }),
  tick: (run, _event, at) => {
    applyDecisions(run, run.policy.tick(at), at);
    if (run.pendingArrivals + run.openRequests.size > 0)
      run.events.push(at + tickIntervalMs, { type: 'tick' });
  },
};
