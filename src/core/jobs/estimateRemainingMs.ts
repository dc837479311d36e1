import type { Job } from './Job.js';
import type { JobsState } from './JobsState.js';
import { formatShapeKey } from './formatShapeKey.js';

/**
 * Estimates the remaining run time of a job from the times observed for its workspace and shape, or
 * else from the declared time; 0 for a job that has run for longer than that.
 */
export const estimateRemainingMs = (jobs: JobsState, job: Job, at: number): number => {
  const total = jobs.observedRunMs.get(formatShapeKey(job)) ?? job.spec.declaredMs;
  const isRunning = job.state === 'running' || job.state === 'checkpointing';
  return Math.max(0, total - job.ranMs - (isRunning ? at - job.phaseAt : 0));
};
