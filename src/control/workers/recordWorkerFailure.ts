import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { Worker } from './Worker.js';

// Failures of two different jobs without a success in between indicate a faulty worker.
const minFailedJobs = 2;
const initialQuarantineMs = 2500;
const maxQuarantineMs = 20_000;

/** Counts a failed run; a worker on which several jobs fail is quarantined, longer each time. */
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
  // After the quarantine, the failure of one other job is enough to quarantine it again.
  worker.failedRunsByJob.clear();
  worker.failedRunsByJob.set(jobId, 1);
  return [
    { type: 'count', name: 'workers_set_aside', reason: 'failures' },
    { type: 'log', level: 'warn', code: 'worker_set_aside', fields },
  ];
};
