import { applyDecisions } from './applyDecisions.js';
import { closeRequest } from './closeRequest.js';
import type { RequestRun } from './RequestRun.js';
import type { RequestRunEvent } from './RequestRunEvent.js';

type StepOf<T extends RequestRunEvent['type']> = Extract<RequestRunEvent, { type: T }>;

// The daemons tick every 100 ms.
const tickEveryMs = 100;

const finishAttempt = (run: RequestRun, step: StepOf<'end'>, at: number): void => {
  const { attempt, workerId, outcome, startedAt } = step;
  const { id } = attempt.request;
  const entry = run.openRequests.get(id)!;
  entry.usedMs += Math.max(0, Math.min(at, run.lastArrivalAt) - startedAt);
  const next = run.policy.release(attempt, workerId, outcome, at - startedAt, at);
  if (outcome === 'answered') closeRequest(run, id, 'answered', at);
  else if (at >= attempt.deadlineAt) closeRequest(run, id, 'late', at);
  else if (!run.retryBudget.takeRetry(at)) closeRequest(run, id, 'failed', at);
  else {
    const avoid = [...attempt.avoid, workerId];
    entry.attempt = { ...attempt, number: attempt.number + 1, avoid };
    entry.waiting = true;
    next.push(...run.policy.offer(entry.attempt, at));
  }
  applyDecisions(run, next, at);
};

/** What happens at each kind of timed event. */
export const requestRunHandlers: {
  [T in RequestRunEvent['type']]: (run: RequestRun, step: StepOf<T>, at: number) => void;
} = {
  arrive: (run, { attempt }, at) => {
    run.pendingArrivals -= 1;
    run.retryBudget.countRequest(at);
    run.openRequests.set(attempt.request.id, { attempt, waiting: true, usedMs: 0 });
    applyDecisions(run, run.policy.offer(attempt, at), at);
  },
  end: finishAttempt,
  cancel: (run, _step, at) =>
    [...run.openRequests.values()]
      .filter(({ attempt, waiting }) => waiting && attempt.request.cancelsIfWaiting)
      .forEach(({ attempt }) => {
        closeRequest(run, attempt.request.id, 'cancelled', at);
        applyDecisions(run, run.policy.cancel(attempt, at), at);
      }),
  tick: (run, _step, at) => {
    applyDecisions(run, run.policy.tick(at), at);
    if (run.pendingArrivals + run.openRequests.size > 0)
      run.events.push(at + tickEveryMs, { type: 'tick' });
  },
};
