import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { buildAttemptId } from './buildAttemptId.js';
import type { Exchange } from './Exchange.js';
import { countUsage } from './countUsage.js';
import { releaseGrant } from './releaseGrant.js';

const cancelGrant = (exchange: Exchange): Effect[] =>
  exchange.scheduler === null
    ? []
    : [
        {
          type: 'send',
          to: exchange.scheduler,
          message: {
            type: 'cancelGrant',
            requestId: exchange.requestId,
            attempt: exchange.attempt,
          },
        },
      ];

/** Cancels the request of a caller that disconnected. */
export const handleCallerGone = (state: State, event: EventOf<'callerGone'>): Effect[] => {
  const exchange = state.requests.exchanges.get(event.requestId);
  if (!exchange) return [];
  state.requests.exchanges.delete(event.requestId);
  const countRefusal: Effect = { type: 'countRefusal', reason: 'caller-gone' };
  if (exchange.phase === 'unassigned' || exchange.phase === 'waiting') {
    return [countRefusal, ...cancelGrant(exchange)];
  }
  countUsage(state, exchange, 'unknown', event.at);
  const { requestId } = exchange;
  return [
    countRefusal,
    { type: 'abortAttempt', requestId, attemptId: buildAttemptId(exchange) },
    ...releaseGrant(exchange, 'abandoned', event.at),
  ];
};
