import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { findAttempt } from './findAttempt.js';
import { countUsage } from './countUsage.js';
import { releaseGrant } from './releaseGrant.js';

const firstServerErrorStatus = 500;

/** Ends an exchange whose answer was passed to the caller completely. */
export const handleAttemptEnded = (state: State, event: EventOf<'attemptEnded'>): Effect[] => {
  const exchange = findAttempt(state, event);
  if (exchange?.phase !== 'answering') return [];
  const failed = (exchange.status ?? firstServerErrorStatus) >= firstServerErrorStatus;
  const outcome = failed ? 'failed' : 'answered';
  state.requests.exchanges.delete(exchange.requestId);
  countUsage(state, exchange, outcome, event.at);
  const { requestId, attempt, workerId, status, dispatchedAt } = exchange;
  return [
    ...releaseGrant(exchange, outcome, event.at),
    {
      type: 'log',
      level: 'debug',
      code: 'request_answered',
      fields: { requestId, attempt, workerId, status, elapsedMs: event.at - dispatchedAt },
    },
  ];
};
