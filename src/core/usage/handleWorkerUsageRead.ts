import { advanceCursor } from './advanceCursor.js';
import { computeKnownIntervals } from './computeKnownIntervals.js';
import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { reconcileUsage } from './reconcileUsage.js';

/** Records corrections from a worker's late report; each task is compared once. */
export const handleWorkerUsageRead = (
  state: State,
  event: EventOf<'workerUsageRead'>,
): Effect[] => {
  const { recordedRuns: runs } = state.usage;
  const records = reconcileUsage(runs, event.lines, event.wall);
  event.lines.forEach(({ taskId, ended }) => {
    const run = runs.get(taskId);
    if (run && ended && computeKnownIntervals(run) !== null) runs.delete(taskId);
  });
  advanceCursor(state, event);
  return records.length === 0 ? [] : [{ type: 'emit', event: { type: 'usageNoted', records } }];
};
