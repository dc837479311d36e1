import type { LogFields } from '../LogFields.js';
import type { Now } from '../Now.js';
import { estimateEarliestClock } from './estimateEarliestClock.js';
import type { Worker } from './Worker.js';

/** Describes what the leader knows of a worker, on which it decides whether the worker's runs are lost. */
export const describeWorkerView = (worker: Worker, now: Now): LogFields => ({
  heardMs: Math.round(now.at - worker.lastListedAt),
  failedPolls: worker.failedPolls,
  // Negative once the lease is over; null if the worker has not answered in this term.
  leaseLeftMs: worker.clock
    ? Math.round(worker.leaseExpiresAt - estimateEarliestClock(worker, now))
    : null,
  entry: worker.entry?.state ?? 'none',
  draining: worker.draining,
  removedMs: worker.removedAt === null ? null : Math.round(now.at - worker.removedAt),
  incarnation: worker.incarnation,
});
