import type { Effect } from './Effect.js';
import type { Event } from './Event.js';
import { handlerTables } from './handlerTables.js';
import type { State } from './State.js';

type AnyHandler = (state: State, event: Event) => Effect[];

const reduceOne = (state: State, event: Event): Effect[] => {
  const effects: Effect[] = [];
  handlerTables.forEach((table) => {
    // The table's type ties each handler to its event type; the look-up erases that tie.
    const handler = table[event.type] as AnyHandler | undefined;
    if (handler) effects.push(...handler(state, event));
  });
  return effects;
};

/**
 * Decides on one event: updates the state in place and returns the effects for the adapters.
 * Derived events are processed, in order, before it returns.
 */
export const reduce = (state: State, event: Event): Effect[] => {
  const pending: Event[] = [event];
  const outward: Effect[] = [];
  for (let next = pending.shift(); next; next = pending.shift()) {
    reduceOne(state, next).forEach((effect) => {
      if (effect.type === 'emit') {
        pending.push({ ...effect.event, at: event.at, wall: event.wall });
      } else {
        outward.push(effect);
      }
    });
  }
  return outward;
};
