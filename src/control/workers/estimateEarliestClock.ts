import type { Now } from '../Now.js';
import { minClockRate } from './minClockRate.js';
import type { Worker } from './Worker.js';

/**
 * Lowest time that the worker's clock can show by now. An answer that a suspended VM takes over late
 * shows an earlier one.
 */
export const estimateEarliestClock = ({ clock }: Worker, now: Now): number =>
  clock ? clock.value + (now.at - clock.observedAt) * minClockRate : Number.NEGATIVE_INFINITY;
