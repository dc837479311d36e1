import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { grantFreeSlots } from './grantFreeSlots.js';
import { countQueuedRequests } from './countQueuedRequests.js';
import { dropOrphanedGrants } from './dropOrphanedGrants.js';
import { exitWhenDrained } from './exitWhenDrained.js';
import { expireKeys } from './expireKeys.js';
import { expireQueuedRequests } from './expireQueuedRequests.js';
import { resolveKeyClaims } from './resolveKeyClaims.js';

/** Expires grants, keys and requests, and grants slots that have become free. O(open requests). */
export const handleTick = (state: State, event: EventOf<'tick'>): Effect[] => {
  if (state.self.role !== 'scheduler') return [];
  dropOrphanedGrants(state, event.at);
  expireKeys(state, event.at);
  return [
    ...expireQueuedRequests(state, event.at),
    ...resolveKeyClaims(state, event.at),
    ...grantFreeSlots(state, event.at),
    { type: 'gauge', name: 'queued_requests', value: countQueuedRequests(state) },
    { type: 'gauge', name: 'open_grants', value: state.routing.grants.size },
    ...exitWhenDrained(state, event.at),
  ];
};
