import type { State } from '../State.js';
import { setJobDeadline } from './setJobDeadline.js';
import type { Job } from './Job.js';
import { setJobState } from './setJobState.js';

// A failed job is restarted with a growing delay, so that it does not keep workers busy.
const initialBackoffMs = 1000;
const maxBackoffMs = 30_000;

/** Queues a new or stopped job, in order of submission. Cost: O(queued jobs). */
export const queueJob = (state: State, job: Job, at: number): void => {
  const { jobs } = state;
  setJobState(state, job, 'queued', at);
  jobs.placementDue = true;
  delete job.afterStop;
  job.parts = [];
  const backoffMs =
    job.failures === 0 ? 0 : Math.min(maxBackoffMs, initialBackoffMs * 2 ** (job.failures - 1));
  job.notBefore = at + backoffMs;
  if (backoffMs > 0) setJobDeadline(jobs, job, job.notBefore);
  const nextIndex = jobs.queue.findIndex(
    (id) => (jobs.jobs.get(id)?.submittedWall ?? Infinity) > job.submittedWall,
  );
  jobs.queue.splice(nextIndex === -1 ? jobs.queue.length : nextIndex, 0, job.id);
};
