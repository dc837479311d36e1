import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { Worker } from './Worker.js';

// Two jobs that both fail here, with no success between them, point to the worker.
const minFailedJobs = 2;
const initialQuarantineMs = 2500;
const maxQuarantineMs = 20_000;

/** Counts a failed run of a job; a worker at which several jobs fail gets no work for a while. */
export const recordWorkerFailure = (worker: Worker, jobId: string, now: Now): Effect[] => {
  worker.failedRunsByJob.set(jobId, (worker.failedRunsByJob.get(jobId) ?? 0) + 1);
  if (worker.failedRunsByJob.size < minFailedJobs) return [];
  const quarantineMs = Math.min(maxQuarantineMs, initialQuarantineMs * 2 ** worker.quarantineCount);
  worker.quarantinedUntil = now.at + quarantineMs;
  worker.quarantineCount += 1;
  const fields = {
    worker: worker.id,
    failedJobs: worker.failedRunsByJob.size,
    asideMs: quarantineMs,
  };
  // One more failed job sets it aside again when it gets work.
  worker.failedRunsByJob.clear();
  worker.failedRunsByJob.set(jobId, 1);
  return [
    { type: 'count', name: 'workers_set_aside', reason: 'failures' },
    { type: 'log', level: 'warn', code: 'worker_set_aside', fields },
  ];
};
