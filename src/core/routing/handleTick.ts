import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { assignWaiting } from './assignWaiting.js';
import { countWaiting } from './countWaiting.js';
import { dropOrphans } from './dropOrphans.js';
import { exitWhenDrained } from './exitWhenDrained.js';
import { expireKeys } from './expireKeys.js';
import { expireWaiting } from './expireWaiting.js';
import { grantKeyWaits } from './grantKeyWaits.js';

/** Expires what is due and grants slots that became free by themselves. O(open requests). */
export const handleTick = (state: State, event: EventOf<'tick'>): Effect[] => {
  if (state.self.role !== 'scheduler') return [];
  dropOrphans(state, event.at);
  expireKeys(state, event.at);
  return [
    ...expireWaiting(state, event.at),
    ...grantKeyWaits(state, event.at),
    ...assignWaiting(state, event.at),
    { type: 'gauge', name: 'queued_requests', value: countWaiting(state) },
    { type: 'gauge', name: 'open_grants', value: state.routing.grants.size },
    ...exitWhenDrained(state, event.at),
  ];
};
