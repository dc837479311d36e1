import type { AttemptOutcome } from '../../../src/core/routing/AttemptOutcome.js';
import type { Attempt } from './Attempt.js';
import { closeRequest } from './closeRequest.js';
import type { Decision } from './Decision.js';
import type { RequestRun } from './RequestRun.js';
import type { WorkerSpec } from './WorkerSpec.js';

const failureMs = 2;

const planEnd = ({
  attempt,
  worker,
  at,
}: {
  attempt: Attempt;
  worker: WorkerSpec;
  at: number;
}): { endAt: number; outcome: AttemptOutcome } => {
  // The caller has left; the gateway gives the grant back.
  if (at >= attempt.deadlineAt) return { endAt: at, outcome: 'unused' };
  if (worker.failsFrom !== null && at >= worker.failsFrom) {
    return { endAt: at + failureMs, outcome: 'unknown' };
  }
  const endAt = at + attempt.request.serviceMs * worker.slowness;
  if (endAt <= attempt.deadlineAt) return { endAt, outcome: 'answered' };
  // The gateway ends an attempt without an answer at the caller's deadline.
  return { endAt: attempt.deadlineAt, outcome: 'unknown' };
};

const startAttempt = (
  run: RequestRun,
  { requestId, workerId }: Extract<Decision, { type: 'start' }>,
  at: number,
): void => {
  const entry = run.openRequests.get(requestId)!;
  const { attempt } = entry;
  entry.waiting = false;
  const { endAt, outcome } = planEnd({ attempt, worker: run.workers.get(workerId)!, at });
  run.events.push(endAt, { type: 'end', attempt, workerId, startedAt: at, outcome });
};

/** Carries out a policy's decisions: fake workers start attempts, refused callers are answered. */
export const applyDecisions = (run: RequestRun, decisions: Decision[], at: number): void =>
  decisions.forEach((decision) => {
    if (decision.type === 'start') startAttempt(run, decision, at);
    else closeRequest(run, decision.requestId, 'refused', at);
  });
