import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { requestGrant } from './requestGrant.js';
import { findAttempt } from './findAttempt.js';

/** Dispatches a granted request; returns a grant that is unexpected or too old. */
export const handleGrant = (state: State, event: EventOf<'grant'>): Effect[] => {
  const { requestId, attemptId } = event;
  const exchange = findAttempt(state, event);
  const releaseUnused: Effect = {
    type: 'send',
    to: event.from,
    message: { type: 'releaseGrant', requestId, attemptId, outcome: 'unused', elapsedMs: 0 },
  };
  if (exchange?.phase !== 'waiting') return [releaseUnused];
  const ageMs = event.at - exchange.grantRequestedAt - event.waitedMs;
  if (ageMs > event.startWithinMs) {
    // The worker may have started to leave since the grant; see docs/design.md, section 5.1.
    return [
      releaseUnused,
      { type: 'count', name: 'grant_expired' },
      { type: 'countRetry', reason: 'grant-expired' },
      ...requestGrant(state, exchange, event.at),
    ];
  }
  exchange.phase = 'granted';
  exchange.scheduler = event.from;
  exchange.workerId = event.workerId;
  exchange.dispatchedAt = event.at;
  exchange.status = null;
  return [{ type: 'dispatchAttempt', requestId, attemptId, url: event.url }];
};
