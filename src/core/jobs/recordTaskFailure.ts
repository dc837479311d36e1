import type { JobsState } from './JobsState.js';

// Three jobs are unlikely to be bad at once; a worker on which they all failed is.
const maxFailedJobs = 3;
const firstAvoidMs = 30_000;
const maxAvoidMs = 600_000;

/** Notes a failed task of a worker; repeated failures across jobs keep gangs away from it. */
export const recordTaskFailure = (
  jobs: JobsState,
  workerId: string,
  jobId: string,
  at: number,
): void => {
  const faults = jobs.failuresByWorker.get(workerId) ?? {
    jobIds: new Set<string>(),
    avoidUntil: -Infinity,
    backoffMs: firstAvoidMs,
  };
  jobs.failuresByWorker.set(workerId, faults);
  faults.jobIds.add(jobId);
  if (faults.jobIds.size < maxFailedJobs) return;
  faults.avoidUntil = at + faults.backoffMs;
  faults.backoffMs = Math.min(maxAvoidMs, faults.backoffMs * 2);
};
