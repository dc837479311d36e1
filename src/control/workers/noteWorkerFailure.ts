import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { Worker } from './Worker.js';

// Two jobs that both fail here, with no success between them, point to the worker.
const suspiciousJobs = 2;
const firstAsideMs = 2500;
const longestAsideMs = 20_000;

/** Counts a failed run of a job; a worker at which several jobs fail gets no work for a while. */
export const noteWorkerFailure = (worker: Worker, jobId: string, now: Now): Effect[] => {
  worker.failedJobs.set(jobId, (worker.failedJobs.get(jobId) ?? 0) + 1);
  if (worker.failedJobs.size < suspiciousJobs) return [];
  const asideMs = Math.min(longestAsideMs, firstAsideMs * 2 ** worker.timesAside);
  worker.asideUntil = now.at + asideMs;
  worker.timesAside += 1;
  const fields = { worker: worker.id, failedJobs: worker.failedJobs.size, asideMs };
  // One more failed job sets it aside again when it gets work.
  worker.failedJobs.clear();
  worker.failedJobs.set(jobId, 1);
  return [
    { type: 'count', name: 'workers_set_aside', reason: 'failures' },
    { type: 'log', level: 'warn', code: 'worker_set_aside', fields },
  ];
};
