import type { State } from '../State.js';
import { setJobDeadline } from './setJobDeadline.js';
import { addJob } from './addJob.js';
import { addPartUse } from './addPartUse.js';
import { endedJobRetentionMs } from './endedJobRetentionMs.js';
import { isJobEnded } from './isJobEnded.js';
import { isPartEnded } from './isPartEnded.js';
import type { Job } from './Job.js';
import { queueJob } from './queueJob.js';
import { removeFromQueue } from './removeFromQueue.js';
import { removePartUse } from './removePartUse.js';

/**
 * Stores a replicated copy of a job and updates the indexes; a copy of an older attempt is ignored.
 * Monotonic times of the copy belong to another VM's clock and are replaced.
 * Cost: O(parts + queued jobs).
 */
export const applyReplicatedJob = (state: State, copy: Job, at: number): void => {
  const { jobs } = state;
  const known = jobs.jobs.get(copy.id);
  if (known && known.attempt > copy.attempt) return;
  known?.parts.forEach((part) => removePartUse(jobs, known, part));
  removeFromQueue(jobs, copy.id);
  const expiresAt = at + state.timing.taskLeaseMs + state.timing.workerCallTimeoutMs;
  const job: Job = {
    ...copy,
    phaseAt: at,
    dueAt: null,
    notBefore: at,
    parts: copy.parts.map((part) => ({
      ...part,
      changedAt: at,
      expiresAt: part.expiresAt === null ? null : expiresAt,
    })),
  };
  addJob(jobs, job);
  jobs.activeJobs.delete(job.id);
  if (isJobEnded(job)) setJobDeadline(jobs, job, at + endedJobRetentionMs);
  else jobs.activeJobs.add(job.id);
  if (job.state === 'queued') queueJob(state, job, at);
  job.parts.filter((part) => !isPartEnded(part, at)).forEach((part) => addPartUse(jobs, job, part));
  state.replication.changedJobs.delete(job.id);
};
