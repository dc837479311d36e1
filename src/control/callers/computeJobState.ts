import type { Job } from '../jobs/Job.js';
import type { JobState } from '../jobs/JobState.js';
import { isJobEnded } from '../plans/isJobEnded.js';

/** Computes the job state that callers see: an accepted cancellation shows at once. */
export const computeJobState = (job: Job): JobState => {
  if (isJobEnded(job.state)) return job.state;
  return job.cancelledAt === null ? job.state : 'cancelled';
};
