import { applyReplicatedJob } from '../../src/core/jobs/applyReplicatedJob.js';
import type { State } from '../../src/core/State.js';
import { createRunningJob } from './createRunningJob.js';
import { targetSize } from './targetSize.js';
import { fixedTime } from './fixedTime.js';

/** Adds running jobs until the given number of tasks is spread evenly over the held workers. */
export const addRunningTasks = (
  state: State,
  tasks: number,
  partsPerJob: number = targetSize.partsPerJob,
): void => {
  const workers = [...state.ownership.leases.keys()];
  const workspaces = [...state.settings.teamByWorkspace.keys()];
  for (let first = 0; first < tasks; first += partsPerJob) {
    const count = Math.min(partsPerJob, tasks - first);
    const number = first / partsPerJob;
    const places = Array.from(
      { length: count },
      (_, index) => workers[(first + index) % workers.length]!,
    );
    const workspace = workspaces[number % workspaces.length]!;
    const job = createRunningJob(`job-${String(number).padStart(12, '0')}`, workspace, places);
    applyReplicatedJob(state, job, fixedTime.at);
  }
  state.jobs.placementDue = false;
};
