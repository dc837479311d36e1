import type { Effect } from './Effect.js';
import type { Event } from './Event.js';
import type { EventOf } from './EventOf.js';
import type { State } from './State.js';

/** Handles events of one type: updates the state in place and returns the effects. */
export type Handler<T extends Event['type']> = (state: State, event: EventOf<T>) => Effect[];
