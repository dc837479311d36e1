import type { ObservedRun } from './ObservedRun.js';

/** Lists the runs that a worker had when one of its runs started, with that run. */
export const listConcurrentRuns = <T extends ObservedRun>(
  runs: readonly T[],
  run: ObservedRun,
): T[] =>
  runs.filter(
    (other) =>
      other.workerId === run.workerId &&
      other.startedAt <= run.startedAt &&
      (other.endedAt ?? Number.POSITIVE_INFINITY) > run.startedAt,
  );
