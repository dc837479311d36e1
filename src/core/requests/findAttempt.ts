import type { State } from '../State.js';
import { buildAttemptId } from './buildAttemptId.js';
import type { Exchange } from './Exchange.js';

/**
 * Finds the exchange whose current attempt has this id; null for an event of an earlier attempt.
 */
export const findAttempt = (
  state: State,
  event: { requestId: string; attemptId: string },
): Exchange | null => {
  const exchange = state.requests.exchanges.get(event.requestId);
  return exchange && buildAttemptId(exchange) === event.attemptId ? exchange : null;
};
