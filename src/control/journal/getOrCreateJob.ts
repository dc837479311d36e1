import type { Job } from '../jobs/Job.js';
import type { State } from '../State.js';

/** Finds a job, or adds an empty one when a part of it is read for the first time. */
export const getOrCreateJob = (state: State, id: string): Job => {
  const existing = state.jobs.get(id);
  if (existing) return existing;
  const job: Job = {
    id,
    submission: null,
    cancelled: false,
    state: 'queued',
    endedAt: 0,
    statusOffset: -1,
  };
  state.jobs.set(id, job);
  return job;
};
