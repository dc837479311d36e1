import type { Job } from '../jobs/Job.js';

/** What the `jobs` stream tells of an accepted job that has not ended. */
export type RecoveredJob = Pick<Job, 'id' | 'workspace' | 'zone' | 'spec' | 'submittedWall'>;
