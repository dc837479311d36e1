import type { State } from '../State.js';
import { computeJobState } from './computeJobState.js';

/** Counts the accepted jobs of a queue that have not started. */
export const countQueuedJobs = (state: State, queue: string): number =>
  [...state.jobs.values()].filter(
    (job) => job.submission?.queue === queue && computeJobState(job) === 'queued',
  ).length;
