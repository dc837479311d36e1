import type { Clock } from './Clock.js';

/** Reads a machine's monotonic clock at a true time. */
export const readClock = (clock: Clock, now: number): number => clock.offsetMs + now * clock.rate;
