import type { Estimate } from './Estimate.js';

// Workers were bought over years: a factor of 1.5 either way is usual.
const priorStdDev = 0.4;

/** Slowness of a worker of which nothing is known. */
export const createLogSlowdown = (): Estimate => ({ mean: 0, variance: priorStdDev ** 2 });
