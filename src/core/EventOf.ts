import type { Event } from './Event.js';

/** The event variant with the given type. */
export type EventOf<T extends Event['type']> = Extract<Event, { type: T }>;
