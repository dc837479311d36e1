import type { JobProgress } from './JobProgress.js';

/** What the parts of a job's divided progress have in common. */
export type ProgressHead = Pick<JobProgress, 'nextOccurrence' | 'openOccurrences'>;
