import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { failGang } from './failGang.js';
import { findPart } from './findPart.js';

/**
 * Handles a task call without an answer. A gang start is aborted; checkpoint and stop calls are
 * repeated after the worker's next lease renewal. Cost: O(parts of the job).
 */
export const handleTaskCallFailed = (state: State, event: EventOf<'taskCallFailed'>): Effect[] => {
  const found = findPart(state.jobs, event.taskId);
  if (!found) return [];
  const { job, part } = found;
  const isAwaited =
    (event.call === 'prepareTask' && job.state === 'preparing' && part.state === 'assigned') ||
    (event.call === 'startTask' && job.state === 'starting' && part.state === 'prepared');
  if (!isAwaited) return [];
  return failGang(state, job, event, {
    reason: 'gang-part-late',
    blame: 'worker',
    workerIds: [part.workerId],
  });
};
