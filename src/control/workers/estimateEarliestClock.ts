import type { Now } from '../Now.js';
import { minClockRate } from './minClockRate.js';
import type { Worker } from './Worker.js';

/**
 * Computes a lower bound of the worker's current clock in milliseconds. It allows for a slow clock and
 * for this VM being suspended before it handled the listing, which then carries an older time.
 */
export const estimateEarliestClock = ({ clock }: Worker, now: Now): number =>
  clock ? clock.value + (now.at - clock.observedAt) * minClockRate : Number.NEGATIVE_INFINITY;
