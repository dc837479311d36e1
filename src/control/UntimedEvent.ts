import type { Event } from './Event.js';

type WithoutTime<T> = T extends unknown ? Omit<T, 'at' | 'wall' | 'responsiveAt'> : never;

/** An event before the event loop adds the time. */
export type UntimedEvent = WithoutTime<Event>;
