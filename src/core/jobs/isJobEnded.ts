import type { Job } from './Job.js';

/** Tells whether a job is in a final state. */
export const isJobEnded = ({ state }: Job): boolean =>
  state === 'finished' || state === 'failed' || state === 'cancelled';
