import type { Effect } from './Effect.js';
import type { Event } from './Event.js';
import type { EventOf } from './EventOf.js';
import type { State } from './State.js';

/** The event handlers of one feature, by event type. */
export type HandlerTable = {
  [T in Event['type']]?: (state: State, event: EventOf<T>) => Effect[];
};
