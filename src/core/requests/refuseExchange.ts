import type { Effect } from '../Effect.js';
import type { Refusal } from '../Refusal.js';
import type { State } from '../State.js';
import { isDraining } from './isDraining.js';

/**
 * Answers a caller with a refusal and deletes the exchange. After an attempt that may have run, the
 * outcome is unknown for every reason.
 */
export const refuseExchange = (state: State, requestId: string, baseRefusal: Refusal): Effect[] => {
  const mayHaveRun = state.requests.exchanges.get(requestId)?.mayHaveRun ?? false;
  const refusal: Refusal = mayHaveRun ? { ...baseRefusal, outcome: 'unknown' } : baseRefusal;
  state.requests.exchanges.delete(requestId);
  return [
    { type: 'refuseCaller', requestId, refusal, closeConnection: isDraining(state) },
    { type: 'countRefusal', reason: refusal.reason },
    {
      type: 'log',
      level: 'info',
      code: 'request_refused',
      fields: { requestId, reason: refusal.reason, outcome: refusal.outcome },
    },
  ];
};
