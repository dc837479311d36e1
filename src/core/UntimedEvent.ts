import type { Event } from './Event.js';

type WithoutTime<E> = E extends unknown ? Omit<E, 'at' | 'wall'> : never;

/** An event to which the event loop has not added the time yet. */
export type UntimedEvent = WithoutTime<Event>;
