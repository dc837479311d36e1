import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Forgets the use of a gateway that has handed its counts over. */
export const handleGoodbye = (state: State, event: EventOf<'goodbye'>): Effect[] => {
  state.routing.countedWall.delete(event.from);
  return [];
};
