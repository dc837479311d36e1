import type { JobsState } from './JobsState.js';

/** Accelerators that a workspace uses or is about to get. Cost: O(reclaiming jobs). */
export const measureUse = (jobs: JobsState, workspace: string): number => {
  let use = jobs.useByWorkspace.get(workspace) ?? 0;
  jobs.holds.forEach((hold) => {
    if (hold.workspace === workspace) use += hold.workers.length * hold.acceleratorsPerTask;
  });
  return use;
};
