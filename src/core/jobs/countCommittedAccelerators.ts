import type { JobsState } from './JobsState.js';

/** Counts the accelerators that a workspace uses or is reclaiming. Cost: O(reclaiming jobs). */
export const countCommittedAccelerators = (jobs: JobsState, workspace: string): number => {
  let use = jobs.usedByWorkspace.get(workspace) ?? 0;
  jobs.reclaimHolds.forEach((hold) => {
    if (hold.workspace === workspace) use += hold.workers.length * hold.acceleratorsPerTask;
  });
  return use;
};
