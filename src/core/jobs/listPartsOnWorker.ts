import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import type { JobsState } from './JobsState.js';
import { findPart } from './findPart.js';

/** Lists the parts on a worker, by job. Cost: O(tasks of the worker × parts of their gangs). */
export const listPartsOnWorker = (jobs: JobsState, workerId: string): Map<Job, JobPart[]> => {
  const byJob = new Map<Job, JobPart[]>();
  (jobs.tasksByWorker.get(workerId) ?? new Set<string>()).forEach((taskId) => {
    const found = findPart(jobs, taskId);
    if (found) byJob.set(found.job, [...(byJob.get(found.job) ?? []), found.part]);
  });
  return byJob;
};
