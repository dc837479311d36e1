import type { Job } from './Job.js';
import type { JobsState } from './JobsState.js';

/** Removes the deadlines that have passed and returns their jobs. Cost: O(deadlines). */
export const takeDueJobs = (jobs: JobsState, at: number): Job[] => {
  const firstKept = jobs.deadlines.findIndex((deadline) => deadline.at > at);
  const due = jobs.deadlines.splice(0, firstKept === -1 ? jobs.deadlines.length : firstKept);
  return due.flatMap((deadline) => {
    const job = jobs.jobs.get(deadline.jobId);
    return job && job.dueAt === deadline.at ? [job] : [];
  });
};
