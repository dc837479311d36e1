import type { Effect } from './Effect.js';
import type { Event } from './Event.js';
import { handlerTables } from './handlerTables.js';
import { advanceTerm } from './lead/advanceTerm.js';
import type { State } from './State.js';

type AnyHandler = (state: State, event: Event) => Effect[];

/**
 * Handles one event: updates the state in place and returns the effects for the adapters. The
 * leader's term advances once, after all features have handled the event.
 */
export const reduce = (state: State, event: Event): Effect[] => {
  const effects = handlerTables.flatMap((table) => {
    // The table's type relates each handler to its event type; an indexed access loses that relation.
    const handler = table[event.type] as AnyHandler | undefined;
    return handler ? handler(state, event) : [];
  });
  return [...effects, ...advanceTerm(state, event)];
};
