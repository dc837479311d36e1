import type { Job } from '../jobs/Job.js';
import type { State } from '../State.js';

/** Gets a job, or adds an empty one when its first record is read. */
export const getOrCreateJob = (state: State, id: string): Job => {
  const existing = state.jobs.get(id);
  if (existing) return existing;
  const job: Job = {
    id,
    submission: null,
    submissionReadAt: Number.NEGATIVE_INFINITY,
    cancelledAt: null,
    state: 'queued',
    endedAt: 0,
    statusOffset: -1,
  };
  state.jobs.set(id, job);
  return job;
};
