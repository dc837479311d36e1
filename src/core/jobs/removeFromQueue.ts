import type { JobsState } from './JobsState.js';

/** Removes a job from the queue and releases the capacity kept for it. Cost: O(queued jobs). */
export const removeFromQueue = (jobs: JobsState, jobId: string): void => {
  const index = jobs.queue.indexOf(jobId);
  if (index !== -1) jobs.queue.splice(index, 1);
  jobs.reclaimHolds.delete(jobId);
  if (jobs.reservation?.jobId === jobId) jobs.reservation = null;
};
