import { computeKnownIntervals } from './computeKnownIntervals.js';
import type { RecordedRun } from './RecordedRun.js';
import type { UsageRecord } from './UsageRecord.js';
import type { WorkerUsageLine } from './WorkerUsageLine.js';

/** Differences up to this may come from the delay between a worker and its scheduler. */
const toleranceMs = 1000;

/**
 * Compares final lines of a worker's usage report with the recorded runs and builds a correction
 * for each difference. Lines of tasks without a recorded end, or recorded by another process, are
 * skipped because there is nothing to correct.
 */
export const reconcileUsage = (
  runs: ReadonlyMap<string, RecordedRun>,
  lines: readonly WorkerUsageLine[],
  wall: number,
): UsageRecord[] =>
  lines.flatMap((line): UsageRecord[] => {
    const run = runs.get(line.taskId);
    const knownIntervals = run && line.ended ? computeKnownIntervals(run) : null;
    if (knownIntervals === null) return [];
    const knownMs = knownIntervals.reduce(
      (sum, { fromWall, toWall }) => sum + toWall - fromWall,
      0,
    );
    const deltaMs = line.ranMs - knownMs;
    if (Math.abs(deltaMs) <= toleranceMs) return [];
    const { taskId, jobId, workspace, accelerators } = line;
    const id = `${taskId}/correction`;
    return [{ kind: 'correction', id, workspace, jobId, taskId, accelerators, deltaMs, wall }];
  });
