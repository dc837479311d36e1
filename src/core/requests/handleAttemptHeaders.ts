import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { findAttempt } from './findAttempt.js';
import { isDraining } from './isDraining.js';

/** Relays the answer of the current attempt to the caller; drops answers of other attempts. */
export const handleAttemptHeaders = (state: State, event: EventOf<'attemptHeaders'>): Effect[] => {
  const { requestId, attemptId } = event;
  const exchange = findAttempt(state, event);
  const countDropped: Effect = { type: 'count', name: 'late_answer_dropped' };
  if (!exchange) return [{ type: 'abortAttempt', requestId, attemptId }, countDropped];
  // Repeated headers of the current attempt must not abort the answer being relayed.
  if (exchange.phase === 'answering') return [countDropped];
  exchange.phase = 'answering';
  exchange.status = event.status;
  return [{ type: 'relayAnswer', requestId, attemptId, closeConnection: isDraining(state) }];
};
