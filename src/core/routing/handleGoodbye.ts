import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Remembers until the next connection that all request counts of a gateway are recorded. */
export const handleGoodbye = (state: State, event: EventOf<'goodbye'>): Effect[] => {
  state.routing.departedGateways.add(event.from);
  return [];
};
