import type { Effect } from '../Effect.js';
import type { TaskReport } from '../ownership/TaskReport.js';
import type { StoredRecord } from '../usage/StoredRecord.js';
import type { EventTime } from './EventTime.js';

/**
 * Records the use of a task that ended while no scheduler held its worker, with the times that the
 * worker reports. If its start or end was recorded before, the first record counts, because the
 * ids are equal.
 */
export const recordEndedTask = (
  workerId: string,
  report: TaskReport,
  { wall }: EventTime,
): Effect[] => {
  const { endedAgoMs, ranMs, jobId, taskId, workspace, accelerators } = report;
  if (endedAgoMs === undefined || ranMs === 0) return [];
  const endedWall = wall - endedAgoMs;
  const wallByKind = { taskStarted: endedWall - ranMs, taskEnded: endedWall } as const;
  const records = (['taskStarted', 'taskEnded'] as const).map((kind): StoredRecord => ({
    kind,
    id: `${jobId}/${report.attempt}/${report.index}/${kind}`,
    workspace,
    jobId,
    taskId,
    workerId,
    accelerators,
    wall: wallByKind[kind],
  }));
  return [{ type: 'emit', event: { type: 'usageNoted', records } }];
};
