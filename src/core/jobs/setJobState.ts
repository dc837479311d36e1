import type { State } from '../State.js';
import { isJobEnded } from './isJobEnded.js';
import type { Job } from './Job.js';
import type { JobState } from './JobState.js';

/** Moves a job to a state, clears its deadline and marks it for replication. */
export const setJobState = (state: State, job: Job, next: JobState, at: number): void => {
  if (job.state === 'running' || job.state === 'checkpointing') job.ranMs += at - job.phaseAt;
  job.state = next;
  job.phaseAt = at;
  job.dueAt = null;
  if (next === 'queued' || isJobEnded(job)) state.jobs.activeJobs.delete(job.id);
  else state.jobs.activeJobs.add(job.id);
  state.replication.changedJobs.add(job.id);
};
