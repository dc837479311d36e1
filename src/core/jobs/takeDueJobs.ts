import type { Job } from './Job.js';
import type { JobsState } from './JobsState.js';

/** Takes the jobs whose deadline has come. Cost: O(due entries + entries kept). */
export const takeDueJobs = (jobs: JobsState, at: number): Job[] => {
  const kept = jobs.deadlines.findIndex((deadline) => deadline.at > at);
  const due = jobs.deadlines.splice(0, kept === -1 ? jobs.deadlines.length : kept);
  return due.flatMap((deadline) => {
    const job = jobs.jobs.get(deadline.jobId);
    return job && job.dueAt === deadline.at ? [job] : [];
  });
};
