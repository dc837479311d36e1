import type { RecordedRun } from './RecordedRun.js';

type Interval = RecordedRun['unknownIntervals'][number];

const removeInterval = (known: Interval[], { fromWall, toWall }: Interval): Interval[] =>
  known
    .flatMap((interval) => [
      { fromWall: interval.fromWall, toWall: Math.min(interval.toWall, fromWall) },
      { fromWall: Math.max(interval.fromWall, toWall), toWall: interval.toWall },
    ])
    .filter((interval) => interval.fromWall < interval.toWall);

/**
 * Computes the intervals in which a task is known to have run: from its start to its end, except
 * the unknown intervals. Without an end, it is known to have run up to its first unknown interval.
 * Null while the task has neither an end nor an unknown interval.
 */
export const computeKnownIntervals = (run: Omit<RecordedRun, 'taskId'>): Interval[] | null => {
  const { startedWall, endedWall, unknownIntervals } = run;
  if (endedWall === null && unknownIntervals.length === 0) return null;
  const toWall = endedWall ?? Math.min(...unknownIntervals.map((interval) => interval.fromWall));
  if (toWall <= startedWall) return [];
  return unknownIntervals.reduce(removeInterval, [{ fromWall: startedWall, toWall }]);
};
