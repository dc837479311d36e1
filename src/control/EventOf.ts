import type { Event } from './Event.js';

/** The member of `Event` with the given type. */
export type EventOf<T extends Event['type']> = Extract<Event, { type: T }>;
