import type { Now } from '../Now.js';
import type { Worker } from './Worker.js';

/** The worker's clock now, or null before its first answer. */
export const estimateClock = (worker: Worker, now: Now): number | null =>
  worker.clock ? Math.floor(worker.clock.value + (now.at - worker.clock.observedAt)) : null;
