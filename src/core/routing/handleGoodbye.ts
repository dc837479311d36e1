import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Remembers that a gateway has handed its counts over, until it is linked again. */
export const handleGoodbye = (state: State, event: EventOf<'goodbye'>): Effect[] => {
  state.routing.departedGateways.add(event.from);
  return [];
};
