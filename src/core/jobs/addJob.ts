import type { Job } from './Job.js';
import type { JobsState } from './JobsState.js';

/** Enters a new job in the job table; the caller queues it. */
export const addJob = (jobs: JobsState, job: Job): void => {
  const ofWorkspace = jobs.jobsByWorkspace.get(job.workspace) ?? new Set<string>();
  jobs.jobsByWorkspace.set(job.workspace, ofWorkspace.add(job.id));
  jobs.jobs.set(job.id, job);
};
