import type { Job } from '../jobs/Job.js';

/** One record of the `jobs` stream, from which a new VM recovers the accepted jobs. */
export type JobRecord =
  | { kind: 'jobSubmitted'; id: string; job: Job }
  | { kind: 'jobEnded'; id: string; jobId: string; state: 'finished' | 'failed' | 'cancelled' };
