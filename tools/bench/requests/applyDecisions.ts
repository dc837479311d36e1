import type { AttemptOutcome } from '../../../src/core/routing/AttemptOutcome.js';
import type { Attempt } from './Attempt.js';
import { closeRequest } from './closeRequest.js';
import type { Decision } from './Decision.js';
import type { RequestRun } from './RequestRun.js';
import type { WorkerSpec } from './WorkerSpec.js';

const failureMs = 2;

const planAttemptEnd = ({
  attempt,
  worker,
  at,
}: {
  attempt: Attempt;
  worker: WorkerSpec;
  at: number;
}): { endAt: number; outcome: AttemptOutcome } => {
  // The caller's deadline has passed, so the gateway returns the grant unused.
  if (at >= attempt.deadlineAt) return { endAt: at, outcome: 'unused' };
  if (worker.failsFrom !== null && at >= worker.failsFrom) {
    return { endAt: at + failureMs, outcome: 'unknown' };
  }
  const endAt = at + attempt.request.serviceMs * worker.slowness;
  if (endAt <= attempt.deadlineAt) return { endAt, outcome: 'answered' };
  // The gateway aborts an unanswered attempt at the caller's deadline.
  return { endAt: attempt.deadlineAt, outcome: 'unknown' };
};

const startAttempt = (
  run: RequestRun,
  { requestId, workerId }: Extract<Decision, { type: 'start' }>,
  at: number,
): void => {
  const openRequest = run.openRequests.get(requestId)!;
  const { attempt } = openRequest;
  openRequest.waiting = false;
  const { endAt, outcome } = planAttemptEnd({ attempt, worker: run.workers.get(workerId)!, at });
  run.events.push(endAt, { type: 'end', attempt, workerId, startedAt: at, outcome });
};

/** Applies a policy's decisions: workers start attempts, refused requests are closed. */
export const applyDecisions = (run: RequestRun, decisions: Decision[], at: number): void =>
  decisions.forEach((decision) => {
    if (decision.type === 'start') startAttempt(run, decision, at);
    else closeRequest(run, decision.requestId, 'refused', at);
  });
