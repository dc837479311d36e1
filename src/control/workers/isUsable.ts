import type { Now } from '../Now.js';
import type { Worker } from './Worker.js';

// One look with its wait and its answer, and some slack.
const freshMs = 2600;

/** Whether the worker may get new work: ready, heard of lately, and not set aside. */
export const isUsable = (worker: Worker, now: Now): boolean =>
  worker.entry?.state === 'ready' &&
  worker.entry.born === worker.born &&
  worker.clock !== null &&
  worker.strangers.size === 0 &&
  worker.failures === 0 &&
  now.at - worker.clock.at <= freshMs &&
  now.at >= worker.asideUntil;
