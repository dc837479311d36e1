import type { Estimate } from './Estimate.js';

// Workers were bought over years: a factor of 1.5 either way is usual.
const priorDeviation = 0.4;

/** Slowness of a worker of which nothing is known. */
export const createSlowness = (): Estimate => ({ mean: 0, variance: priorDeviation ** 2 });
