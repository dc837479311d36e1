import type { Job } from './Job.js';
import type { JobsState } from './JobsState.js';

/** Deletes an ended job from the job table. */
export const deleteJob = (jobs: JobsState, { id, workspace }: Job): void => {
  const ofWorkspace = jobs.jobsByWorkspace.get(workspace);
  ofWorkspace?.delete(id);
  if (ofWorkspace?.size === 0) jobs.jobsByWorkspace.delete(workspace);
  jobs.jobs.delete(id);
};
