import type { ObservedRun } from './ObservedRun.js';

/** Whether a run's end stands for good, so that its task must not start again. */
export const isCompletionFinal = ({ kind, noted, lapsedSince }: ObservedRun): boolean =>
  kind === 'done' && noted && !lapsedSince;
