import type { Job } from '../jobs/Job.js';

/** One line of the `jobs` stream, from which a new VM learns which jobs were accepted and ended. */
export type JobRecord =
  | { kind: 'jobSubmitted'; id: string; job: Job }
  | { kind: 'jobEnded'; id: string; jobId: string; state: 'finished' | 'failed' | 'cancelled' };
