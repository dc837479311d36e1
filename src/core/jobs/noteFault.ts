import type { JobsState } from './JobsState.js';

// Three jobs are unlikely to be bad at once; a worker on which they all failed is.
const maxFailedJobs = 3;
const firstAvoidMs = 30_000;
const maxAvoidMs = 600_000;

/** Notes a failed task of a worker; repeated failures across jobs keep gangs away from it. */
export const noteFault = (jobs: JobsState, workerId: string, jobId: string, at: number): void => {
  const faults = jobs.faultsByWorker.get(workerId) ?? {
    jobIds: new Set<string>(),
    avoidUntil: -Infinity,
    backoffMs: firstAvoidMs,
  };
  jobs.faultsByWorker.set(workerId, faults);
  faults.jobIds.add(jobId);
  if (faults.jobIds.size < maxFailedJobs) return;
  faults.avoidUntil = at + faults.backoffMs;
  faults.backoffMs = Math.min(maxAvoidMs, faults.backoffMs * 2);
};
