import type { State } from '../State.js';
import { estimateRemainingMs } from './estimateRemainingMs.js';
import type { Job } from './Job.js';

/**
 * Whether a job may use reserved workers: it holds the reservation, it is expected to end before
 * the reservation's start, or it is urgent and the holder is an ordinary job of its workspace.
 */
export const mayUseReservedWorkers = (state: State, job: Job, at: number): boolean => {
  const { reservation, jobs } = state.jobs;
  if (!reservation || reservation.jobId === job.id) return true;
  if (at + estimateRemainingMs(state.jobs, job, at) <= reservation.expectedAt) return true;
  const holder = jobs.get(reservation.jobId);
  return job.spec.urgent && holder?.workspace === job.workspace && !holder.spec.urgent;
};
