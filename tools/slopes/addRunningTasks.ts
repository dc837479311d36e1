import { applyReplicatedJob } from '../../src/core/jobs/applyReplicatedJob.js';
import type { State } from '../../src/core/State.js';
import { createRunningJob } from './createRunningJob.js';
import { targetSize } from './targetSize.js';
import { fixedTime } from './fixedTime.js';

/** Adds running jobs with the given total of tasks, spread evenly over the held workers. */
export const addRunningTasks = (
  state: State,
  tasks: number,
  partsPerJob: number = targetSize.partsPerJob,
): void => {
  const workers = [...state.ownership.leases.keys()];
  const workspaces = [...state.settings.teamByWorkspace.keys()];
  for (let firstTask = 0; firstTask < tasks; firstTask += partsPerJob) {
    const count = Math.min(partsPerJob, tasks - firstTask);
    const jobNumber = firstTask / partsPerJob;
    const workerIds = Array.from(
      { length: count },
      (_, index) => workers[(firstTask + index) % workers.length]!,
    );
    const workspace = workspaces[jobNumber % workspaces.length]!;
    const job = createRunningJob(
      `job-${String(jobNumber).padStart(12, '0')}`,
      workspace,
      workerIds,
    );
    applyReplicatedJob(state, job, fixedTime.at);
  }
  state.jobs.placementDue = false;
};
