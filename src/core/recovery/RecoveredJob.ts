import type { Job } from '../jobs/Job.js';

/** Fields of an accepted, not ended job that the `jobs` stream contains. */
export type RecoveredJob = Pick<Job, 'id' | 'workspace' | 'zone' | 'spec' | 'submittedWall'>;
