import type { Estimate } from './Estimate.js';

// Prior standard deviation: workers of different age differ by a factor of about 1.5 either way.
const priorStdDev = 0.4;

/** Creates the prior estimate of a worker's logarithmic slowdown, before any pace sample. */
export const createLogSlowdown = (): Estimate => ({ mean: 0, variance: priorStdDev ** 2 });
