import type { ObservedRun } from './ObservedRun.js';

/** Whether the completion of a run is final, so that its task must not run again. */
export const isCompletionFinal = ({ kind, noted, lapsedSince }: ObservedRun): boolean =>
  kind === 'done' && noted && !lapsedSince;
