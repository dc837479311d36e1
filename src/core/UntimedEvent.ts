import type { Event } from './Event.js';

type WithoutTime<E> = E extends unknown ? Omit<E, 'at' | 'wall'> : never;

/** An event before the loop has stamped its time. */
export type UntimedEvent = WithoutTime<Event>;
