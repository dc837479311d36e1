import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { answerCaller } from './answerCaller.js';
import type { CallerRefusal } from './CallerRefusal.js';
import type { CallerRequest } from './CallerRequest.js';
import { describeJournalView } from './describeJournalView.js';

const minRetryAfterMs = 1000;
const maxRetryAfterMs = 2000;

type RetryRule = (state: State, at: number) => number;

const noRetry: RetryRule = () => 0;
const fixedRetry: RetryRule = () => minRetryAfterMs;
/** Grows with the outage: one that has lasted is likely to continue, and callers retry only a few times. */
const outageRetry: RetryRule = (state, at) => {
  const outageMs = at - state.streams.journal.lastSuccessAt;
  return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, outageMs));
};

/** Retry delays by refusal reason; 0 if a retry can't succeed. */
const retryRules: Record<CallerRefusal, RetryRule> = {
  'no-config': fixedRetry,
  'no-queue': noRetry,
  'unknown-key': noRetry,
  'invalid-job': noRetry,
  'job-too-large': noRetry,
  'no-such-job': noRetry,
  'store-refused': outageRetry,
  'store-silent': outageRetry,
  'store-behind': fixedRetry,
  'config-behind': fixedRetry,
  'store-unanswered': fixedRetry,
};

/** Refuses a request and logs the inputs of the decision. */
export const refuseCaller = (
  state: State,
  request: Pick<CallerRequest, 'requestId' | 'operation' | 'path'>,
  reason: CallerRefusal,
  at: number,
  detail = '',
): Effect[] => {
  const fields = {
    requestId: request.path.split('/').at(-1) ?? '',
    operation: request.operation,
    path: request.path.slice(0, 100),
    reason,
    ...(detail === '' ? {} : { detail }),
    configVersion: state.config?.version ?? null,
    ...describeJournalView(state, at),
  };
  return [
    { type: 'log', level: 'info', code: 'request_refused', fields },
    ...answerCaller(state, request.requestId, {
      type: 'refused',
      reason,
      retryAfterMs: retryRules[reason](state, at),
      ...(detail === '' ? {} : { detail }),
    }),
  ];
};
