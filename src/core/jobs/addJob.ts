import type { Job } from './Job.js';
import type { JobsState } from './JobsState.js';

/** Adds a job to the job table, or replaces it there; does not queue it. */
export const addJob = (jobs: JobsState, job: Job): void => {
  const workspaceJobIds = jobs.jobsByWorkspace.get(job.workspace) ?? new Set<string>();
  jobs.jobsByWorkspace.set(job.workspace, workspaceJobIds.add(job.id));
  jobs.jobs.set(job.id, job);
};
