import type { JobsState } from './JobsState.js';

// Three jobs are unlikely to be faulty at once; a worker on which all of them failed probably is.
const minFailedJobs = 3;
const initialAvoidMs = 30_000;
const maxAvoidMs = 600_000;

/** Records a task failure on a worker; after failures of several jobs, it is avoided. */
export const recordTaskFailure = (
  jobs: JobsState,
  workerId: string,
  jobId: string,
  at: number,
): void => {
  const workerFailures = jobs.failuresByWorker.get(workerId) ?? {
    jobIds: new Set<string>(),
    avoidUntil: -Infinity,
    backoffMs: initialAvoidMs,
  };
  jobs.failuresByWorker.set(workerId, workerFailures);
  workerFailures.jobIds.add(jobId);
  if (workerFailures.jobIds.size < minFailedJobs) return;
  workerFailures.avoidUntil = at + workerFailures.backoffMs;
  workerFailures.backoffMs = Math.min(maxAvoidMs, workerFailures.backoffMs * 2);
};
