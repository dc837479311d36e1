import type { RecordedRun } from './RecordedRun.js';

type Interval = RecordedRun['unknownIntervals'][number];

const removeInterval = (known: Interval[], { fromWall, toWall }: Interval): Interval[] =>
  known
    .flatMap((part) => [
      { fromWall: part.fromWall, toWall: Math.min(part.toWall, fromWall) },
      { fromWall: Math.max(part.fromWall, toWall), toWall: part.toWall },
    ])
    .filter((part) => part.fromWall < part.toWall);

/**
 * Computes the intervals in which a task is known to have run: from its start to its end, without
 * the unknown intervals. A task whose end was not observed is known up to its first unknown
 * interval. Null while the task is open, with neither an end nor an unknown interval.
 */
export const computeKnownIntervals = (run: Omit<RecordedRun, 'taskId'>): Interval[] | null => {
  const { startedWall, endedWall, unknownIntervals: unknown } = run;
  if (endedWall === null && unknown.length === 0) return null;
  const toWall = endedWall ?? Math.min(...unknown.map((interval) => interval.fromWall));
  if (toWall <= startedWall) return [];
  return unknown.reduce(removeInterval, [{ fromWall: startedWall, toWall }]);
};
