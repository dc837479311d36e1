import type { Now } from '../Now.js';
import type { Worker } from './Worker.js';

// One poll with its wait and its answer, and some slack.
const maxListingAgeMs = 2600;

/** Whether the worker can get new tasks: it is ready, answered recently and is not quarantined. */
export const isSchedulable = (worker: Worker, now: Now): boolean =>
  worker.entry?.state === 'ready' &&
  worker.entry.incarnation === worker.incarnation &&
  worker.clock !== null &&
  worker.unplannedRuns.size === 0 &&
  worker.failedPolls === 0 &&
  now.responsiveAt - worker.lastHeardAt <= maxListingAgeMs &&
  now.at >= worker.quarantinedUntil;
