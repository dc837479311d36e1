import type { Job } from '../jobs/Job.js';
import type { JobState } from '../jobs/JobState.js';
import { isJobEnded } from '../plans/isJobEnded.js';

/** The state of a job that callers see. */
export const computeJobState = (job: Job): JobState => {
  if (isJobEnded(job.state)) return job.state;
  return job.cancelled ? 'cancelled' : job.state;
};
