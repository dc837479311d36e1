import type { Effect } from './Effect.js';
import type { Event } from './Event.js';
import { handlerTables } from './handlerTables.js';
import type { State } from './State.js';

type AnyHandler = (state: State, event: Event) => Effect[];

const runHandlers = (state: State, event: Event): Effect[] => {
  const effects: Effect[] = [];
  handlerTables.forEach((table) => {
    // The handler found by `event.type` accepts this event, but the compiler cannot infer that.
    const handler = table[event.type] as AnyHandler | undefined;
    if (handler) effects.push(...handler(state, event));
  });
  return effects;
};

/**
 * Handles one event: updates the state in place and returns the effects for the adapters.
 * Derived events (`emit`) are processed, in order, before it returns.
 */
export const reduce = (state: State, event: Event): Effect[] => {
  const eventQueue: Event[] = [event];
  const externalEffects: Effect[] = [];
  for (let next = eventQueue.shift(); next; next = eventQueue.shift()) {
    runHandlers(state, next).forEach((effect) => {
      if (effect.type === 'emit') {
        eventQueue.push({ ...effect.event, at: event.at, wall: event.wall });
      } else {
        externalEffects.push(effect);
      }
    });
  }
  return externalEffects;
};
