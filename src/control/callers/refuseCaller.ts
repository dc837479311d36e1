import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { answerCaller } from './answerCaller.js';
import type { CallerRefusal } from './CallerRefusal.js';
import type { CallerRequest } from './CallerRequest.js';

const shortestRetryMs = 1000;
// Callers come back a few times only; an outage that has lasted is likely to last on.
const longestRetryMs = 2000;

type RetryRule = (state: State, at: number) => number;

const never: RetryRule = () => 0;
const soon: RetryRule = () => shortestRetryMs;
const withOutage: RetryRule = (state, at) => {
  const outageMs = at - state.streams.journal.lastOkAt;
  return Math.min(longestRetryMs, Math.max(shortestRetryMs, outageMs));
};

/** When it is worth to ask again, by reason. */
const retryRules: Record<CallerRefusal, RetryRule> = {
  'no-config': soon,
  'no-queue': never,
  'unknown-key': never,
  'invalid-job': never,
  'no-such-job': never,
  'store-refused': withOutage,
  'store-silent': withOutage,
  'store-behind': soon,
  'store-unanswered': soon,
};

/** Refuses a request and logs what decided it. */
export const refuseCaller = (
  state: State,
  request: Pick<CallerRequest, 'requestId' | 'operation' | 'path'>,
  reason: CallerRefusal,
  at: number,
): Effect[] => {
  const fields = {
    requestId: request.path.split('/').at(-1) ?? '',
    operation: request.operation,
    path: request.path.slice(0, 100),
    reason,
    configVersion: state.config?.version ?? null,
    journalAgeMs: Math.round(Math.min(at - state.streams.journal.lastOkAt, 1e9)),
  };
  return [
    { type: 'log', level: 'info', code: 'request_refused', fields },
    ...answerCaller(state, request.requestId, {
      type: 'refused',
      reason,
      retryAfterMs: retryRules[reason](state, at),
    }),
  ];
};
