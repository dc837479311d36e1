import type { Now } from '../Now.js';
import type { Worker } from './Worker.js';

/** Estimates the worker's current clock in milliseconds; null before its first listing. */
export const estimateClock = (worker: Worker, now: Now): number | null =>
  worker.clock ? Math.floor(worker.clock.value + (now.at - worker.clock.observedAt)) : null;
