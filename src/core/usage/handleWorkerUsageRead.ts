import { advanceCursor } from './advanceCursor.js';
import { computeKnownIntervals } from './computeKnownIntervals.js';
import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { reconcileUsage } from './reconcileUsage.js';

/** Records corrections from a worker's usage report; each task is compared once. */
export const handleWorkerUsageRead = (
  state: State,
  event: EventOf<'workerUsageRead'>,
): Effect[] => {
  const { recordedRuns } = state.usage;
  const records = reconcileUsage(recordedRuns, event.lines, event.wall);
  event.lines.forEach(({ taskId, ended }) => {
    const run = recordedRuns.get(taskId);
    if (run && ended && computeKnownIntervals(run) !== null) recordedRuns.delete(taskId);
  });
  advanceCursor(state, event);
  return records.length === 0 ? [] : [{ type: 'emit', event: { type: 'usageNoted', records } }];
};
