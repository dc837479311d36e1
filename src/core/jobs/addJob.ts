import type { Job } from './Job.js';
import type { JobsState } from './JobsState.js';

/** Adds a job to the job table, but not to the queue. */
export const addJob = (jobs: JobsState, job: Job): void => {
  const ofWorkspace = jobs.jobsByWorkspace.get(job.workspace) ?? new Set<string>();
  jobs.jobsByWorkspace.set(job.workspace, ofWorkspace.add(job.id));
  jobs.jobs.set(job.id, job);
};
