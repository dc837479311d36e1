import { applyDecisions } from './applyDecisions.js';
import { closeRequest } from './closeRequest.js';
import type { RequestRun } from './RequestRun.js';
import type { RequestStep } from './RequestStep.js';

type StepOf<T extends RequestStep['type']> = Extract<RequestStep, { type: T }>;

// The daemons tick every 100 ms.
const tickEveryMs = 100;

const finishAttempt = (run: RequestRun, step: StepOf<'end'>, at: number): void => {
  const { attempt, workerId, outcome, startedAt } = step;
  const { id } = attempt.request;
  const entry = run.open.get(id)!;
  entry.usedMs += Math.max(0, Math.min(at, run.lastArrivalAt) - startedAt);
  const next = run.policy.release(attempt, workerId, outcome, at - startedAt, at);
  if (outcome === 'answered') closeRequest(run, id, 'answered', at);
  else if (at >= attempt.deadlineAt) closeRequest(run, id, 'late', at);
  else if (!run.budget.spend(at)) closeRequest(run, id, 'failed', at);
  else {
    const avoid = [...attempt.avoid, workerId];
    entry.attempt = { ...attempt, attempt: attempt.attempt + 1, avoid };
    entry.waiting = true;
    next.push(...run.policy.offer(entry.attempt, at));
  }
  applyDecisions(run, next, at);
};

/** What happens at each kind of timed event. */
export const requestSteps: {
  [T in RequestStep['type']]: (run: RequestRun, step: StepOf<T>, at: number) => void;
} = {
  arrive: (run, { attempt }, at) => {
    run.unborn -= 1;
    run.budget.count(at);
    run.open.set(attempt.request.id, { attempt, waiting: true, usedMs: 0 });
    applyDecisions(run, run.policy.offer(attempt, at), at);
  },
  end: finishAttempt,
  cancel: (run, _step, at) =>
    [...run.open.values()]
      .filter(({ attempt, waiting }) => waiting && attempt.request.cancelled)
      .forEach(({ attempt }) => {
        closeRequest(run, attempt.request.id, 'cancelled', at);
        applyDecisions(run, run.policy.cancel(attempt, at), at);
      }),
  tick: (run, _step, at) => {
    applyDecisions(run, run.policy.tick(at), at);
    if (run.unborn + run.open.size > 0) run.steps.push(at + tickEveryMs, { type: 'tick' });
  },
};
