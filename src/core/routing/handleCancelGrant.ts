import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { removeRequests } from './removeRequests.js';

/** Removes a waiting request that its gateway cancelled. O(waiting requests). */
export const handleCancelGrant = (state: State, event: EventOf<'cancelGrant'>): Effect[] => {
  removeRequests(
    state,
    (request) => request.requestId === event.requestId && request.attempt === event.attempt,
  );
  return [];
};
