import type { Event } from './Event.js';

type WithoutTime<T> = T extends unknown ? Omit<T, 'at' | 'wall'> : never;

/** An event before the loop stamps its time. */
export type UntimedEvent = WithoutTime<Event>;
