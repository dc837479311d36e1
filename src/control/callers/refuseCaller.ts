import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { answerCaller } from './answerCaller.js';
import type { CallerRefusal } from './CallerRefusal.js';
import type { CallerRequest } from './CallerRequest.js';

// When it is worth to ask again, by reason; 0 is never.
const retryAfterMs: Record<CallerRefusal, number> = {
  'no-config': 1000,
  'no-queue': 0,
  'unknown-key': 0,
  'invalid-job': 0,
  'no-such-job': 0,
  'store-refused': 1000,
  'store-behind': 1000,
  'store-unanswered': 1000,
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
      retryAfterMs: retryAfterMs[reason],
    }),
  ];
};
