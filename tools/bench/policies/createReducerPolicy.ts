import type { Effect } from '../../../src/core/Effect.js';
import type { Attempt } from '../requests/Attempt.js';
import type { Decision } from '../requests/Decision.js';
import type { RequestPolicy } from '../requests/RequestPolicy.js';
import type { RequestScenario } from '../requests/RequestScenario.js';
import { createScheduler } from '../scheduler/createScheduler.js';

const gateway = 'vm-2/gateway' as const;

const listDecisions = (effects: Effect[]): Decision[] =>
  effects.flatMap((effect): Decision[] => {
    if (effect.type !== 'send') return [];
    const { message } = effect;
    if (message.type === 'refuseGrant') return [{ type: 'refuse', requestId: message.requestId }];
    if (message.type !== 'grant') return [];
    const { requestId, attemptId, workerId } = message;
    return [{ type: 'start', requestId, attempt: Number(attemptId.split('.')[1]), workerId }];
  });

/** Creates a policy that runs the scheduler's reducer. */
export const createReducerPolicy = (scenario: RequestScenario): RequestPolicy => {
  const { maxQueuedRequests } = scenario;
  const workspaces = Object.entries(scenario.weights).map(([name, weight]) => [
    name,
    { weight, guarantees: [], maxAccelerators: 0, maxQueuedRequests },
  ]);
  const scheduler = createScheduler(
    scenario.workers.map(({ id }) => id),
    Object.fromEntries(workspaces),
  );
  const getAttemptKey = ({ request, number: attempt }: Attempt) => ({
    requestId: request.id,
    attempt,
  });
  return {
    offer: (attempt, at) =>
      listDecisions(
        scheduler.push(at, {
          type: 'grantRequest',
          from: gateway,
          ...getAttemptKey(attempt),
          workspace: attempt.request.workspace,
          requestClass: attempt.request.requestClass,
          idempotent: true,
          timeoutMs: attempt.deadlineAt - at,
          avoid: attempt.avoid,
        }),
      ),
    release: (attempt, _workerId, outcome, elapsedMs, at) =>
      listDecisions(
        scheduler.push(at, {
          type: 'releaseGrant',
          from: gateway,
          requestId: attempt.request.id,
          attemptId: `${attempt.request.id}.${attempt.number}`,
          outcome,
          elapsedMs,
        }),
      ),
    cancel: (attempt, at) =>
      listDecisions(
        scheduler.push(at, { type: 'cancelGrant', from: gateway, ...getAttemptKey(attempt) }),
      ),
    tick: (at) => listDecisions(scheduler.push(at, { type: 'tick' })),
  };
};
