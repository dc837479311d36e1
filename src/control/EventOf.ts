import type { Event } from './Event.js';

/** The event of one type. */
export type EventOf<T extends Event['type']> = Extract<Event, { type: T }>;
