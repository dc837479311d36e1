import type { Clock } from './Clock.js';

/** Reads a machine's monotonic clock at a simulation time. */
export const readClock = (clock: Clock, now: number): number => clock.offsetMs + now * clock.rate;
