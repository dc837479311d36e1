import type { Job } from './Job.js';
import type { JobsState } from './JobsState.js';

/** Deletes an ended job from the job table. */
export const deleteJob = (jobs: JobsState, { id, workspace }: Job): void => {
  const workspaceJobIds = jobs.jobsByWorkspace.get(workspace);
  workspaceJobIds?.delete(id);
  if (workspaceJobIds?.size === 0) jobs.jobsByWorkspace.delete(workspace);
  jobs.jobs.delete(id);
};
