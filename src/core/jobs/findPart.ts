import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import type { JobsState } from './JobsState.js';

/**
 * Finds the part and the job of a task that occupies a worker; null if unknown.
 * Cost: O(parts of the job).
 */
export const findPart = (jobs: JobsState, taskId: string): { job: Job; part: JobPart } | null => {
  const job = jobs.jobs.get(jobs.jobIdByTask.get(taskId) ?? '');
  const part = job?.parts.find((candidate) => candidate.taskId === taskId);
  return job && part ? { job, part } : null;
};
