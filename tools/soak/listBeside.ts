import type { SeenRun } from './SeenRun.js';

/** Lists the runs that a worker had when one of its runs started, with that run. */
export const listBeside = <T extends SeenRun>(runs: readonly T[], run: SeenRun): T[] =>
  runs.filter(
    (other) =>
      other.workerId === run.workerId &&
      other.startedAt <= run.startedAt &&
      (other.endedAt ?? Number.POSITIVE_INFINITY) > run.startedAt,
  );
