import type { Job } from './Job.js';
import type { JobsState } from './JobsState.js';
import { formatShapeKey } from './formatShapeKey.js';

/**
 * Estimates the run time still ahead of a job: observed for its workspace and shape, else declared.
 * A running job past its estimate counts as due now.
 */
export const estimateRemainingMs = (jobs: JobsState, job: Job, at: number): number => {
  const total = jobs.observedRunMs.get(formatShapeKey(job)) ?? job.spec.declaredMs;
  const running = job.state === 'running' || job.state === 'checkpointing';
  return Math.max(0, total - job.ranMs - (running ? at - job.phaseAt : 0));
};
