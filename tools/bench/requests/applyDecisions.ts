import { closeRequest } from './closeRequest.js';
import type { Decision } from './Decision.js';
import type { RequestRun } from './RequestRun.js';

const failureMs = 2;

const startAttempt = (
  run: RequestRun,
  { requestId, workerId }: Extract<Decision, { type: 'start' }>,
  at: number,
): void => {
  const entry = run.open.get(requestId)!;
  const { slowness, failsFrom } = run.workers.get(workerId)!;
  const { attempt } = entry;
  entry.waiting = false;
  const fails = failsFrom !== null && at >= failsFrom;
  const endAt = at + (fails ? failureMs : attempt.request.sizeMs * slowness);
  // The gateway ends an attempt without an answer at the caller's deadline, as `unknown`.
  const outcome = fails || endAt > attempt.deadlineAt ? 'unknown' : 'answered';
  const step = { type: 'end', attempt, workerId, startedAt: at, outcome } as const;
  run.steps.push(Math.min(endAt, attempt.deadlineAt), step);
};

/** Carries out a policy's decisions: fake workers start attempts, refused callers are answered. */
export const applyDecisions = (run: RequestRun, decisions: Decision[], at: number): void =>
  decisions.forEach((decision) => {
    if (decision.type === 'start') startAttempt(run, decision, at);
    else closeRequest(run, decision.requestId, 'refused', at);
  });
