import type { SeenRun } from './SeenRun.js';

/** Whether a run's end stands for good, so that its task must not start again. */
export const isBinding = ({ kind, noted, lapsedSince }: SeenRun): boolean =>
  kind === 'done' && noted && !lapsedSince;
