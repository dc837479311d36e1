import type { State } from '../State.js';
import { buildAttemptId } from './buildAttemptId.js';
import type { Exchange } from './Exchange.js';

/** Finds the exchange whose present attempt has this id; null for a late event of an earlier one. */
export const findAttempt = (
  state: State,
  event: { requestId: string; attemptId: string },
): Exchange | null => {
  const exchange = state.requests.exchanges.get(event.requestId);
  return exchange && buildAttemptId(exchange) === event.attemptId ? exchange : null;
};
