import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { buildAttemptId } from './buildAttemptId.js';
import type { Exchange } from './Exchange.js';
import { noteUse } from './noteUse.js';
import { releaseAttempt } from './releaseAttempt.js';

const cancelWaiting = (exchange: Exchange): Effect[] =>
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

/** Withdraws the work of a caller that disconnected. */
export const handleCallerGone = (state: State, event: EventOf<'callerGone'>): Effect[] => {
  const exchange = state.requests.exchanges.get(event.requestId);
  if (!exchange) return [];
  state.requests.exchanges.delete(event.requestId);
  const counted: Effect = { type: 'countRefusal', reason: 'caller-gone' };
  if (exchange.phase === 'asking' || exchange.phase === 'waiting') {
    return [counted, ...cancelWaiting(exchange)];
  }
  noteUse(state, exchange, 'unknown', event.at);
  const { requestId } = exchange;
  return [
    counted,
    { type: 'abortAttempt', requestId, attemptId: buildAttemptId(exchange) },
    ...releaseAttempt(exchange, 'abandoned', event.at),
  ];
};
