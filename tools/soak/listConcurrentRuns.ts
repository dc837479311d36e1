import type { ObservedRun } from './ObservedRun.js';

/** Lists the runs in progress on a worker when one of its runs started, including that run. */
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
