import type { Job } from '../jobs/Job.js';
import type { JobState } from '../jobs/JobState.js';
import { isJobEnded } from '../plans/isJobEnded.js';

/** The state of a job that callers see. */
export const computeJobState = (job: Job): JobState => {
  if (job.progress && isJobEnded(job.progress.state)) return job.progress.state;
  if (job.cancelled) return 'cancelled';
  return job.progress?.state ?? 'queued';
};
