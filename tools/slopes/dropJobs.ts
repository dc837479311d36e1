import type { State } from '../../src/core/State.js';

/** Removes ended jobs and their records, so that each repetition starts from the same size. */
export const dropJobs = (state: State, ids: readonly string[]): void => {
  ids.forEach((id) => {
    const job = state.jobs.jobs.get(id);
    if (job) state.jobs.jobsByWorkspace.get(job.workspace)?.delete(id);
    state.jobs.jobs.delete(id);
    state.replication.changedJobs.delete(id);
  });
  state.jobs.deadlines = state.jobs.deadlines.filter(({ jobId }) => state.jobs.jobs.has(jobId));
  state.usage.unsentRecords = [];
  state.usage.recordedRuns.clear();
};
