import type { Now } from '../Now.js';
import { idlePollIntervalMs } from './idlePollIntervalMs.js';
import type { Worker } from './Worker.js';

// The longest interval between two polls, and some slack for the answer.
const maxListingAgeMs = idlePollIntervalMs + 700;

/** Whether the worker can get new tasks: it is ready, answered recently and is not quarantined. */
export const isSchedulable = (worker: Worker, now: Now): boolean =>
  worker.entry?.state === 'ready' &&
  worker.entry.incarnation === worker.incarnation &&
  worker.clock !== null &&
  worker.unplannedRuns.size === 0 &&
  worker.failedPolls === 0 &&
  now.at - worker.clock.observedAt <= maxListingAgeMs &&
  now.at >= worker.quarantinedUntil;
