import type { Job } from './Job.js';
import type { JobsState } from './JobsState.js';

/**
 * Schedules a check of a job at a monotonic time, replacing its earlier deadline.
 * Cost: O(log deadlines) comparisons and an insertion into the array.
 */
export const setJobDeadline = (jobs: JobsState, job: Job, at: number): void => {
  job.dueAt = at;
  let low = 0;
  let high = jobs.deadlines.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((jobs.deadlines[middle]?.at ?? Infinity) <= at) low = middle + 1;
    else high = middle;
  }
  jobs.deadlines.splice(low, 0, { at, jobId: job.id });
};
