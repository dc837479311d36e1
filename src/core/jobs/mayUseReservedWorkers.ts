import type { State } from '../State.js';
import { estimateRemainingMs } from './estimateRemainingMs.js';
import type { Job } from './Job.js';

/**
 * Tells whether a job may use reserved workers: the reservation is its own, it is expected to end
 * before the reserved start, or it is urgent and the reservation belongs to a job of the same
 * workspace that is not urgent.
 */
export const mayUseReservedWorkers = (state: State, job: Job, at: number): boolean => {
  const { reservation, jobs } = state.jobs;
  if (!reservation || reservation.jobId === job.id) return true;
  if (at + estimateRemainingMs(state.jobs, job, at) <= reservation.expectedAt) return true;
  const reservingJob = jobs.get(reservation.jobId);
  return job.spec.urgent && reservingJob?.workspace === job.workspace && !reservingJob.spec.urgent;
};
