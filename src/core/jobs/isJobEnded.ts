import type { Job } from './Job.js';

/** Whether a job has come to its final state. */
export const isJobEnded = ({ state }: Job): boolean =>
  state === 'finished' || state === 'failed' || state === 'cancelled';
