import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { EventTime } from './EventTime.js';
import { failGang } from './failGang.js';
import { listPartsOnWorker } from './listPartsOnWorker.js';
import { isDecider } from './isDecider.js';
import { markLost } from './markLost.js';
import { updatePhase } from './updatePhase.js';

const fault = { reason: 'gang-part-lost', blame: 'none', workerIds: [] as string[] } as const;

/**
 * Stops the gangs that had parts on a worker which restarted (`gone`) or was silent. Gangs that
 * this scheduler no longer decides about are left to the worker's next holder.
 * Cost: O(tasks of the worker × parts of their gangs).
 */
export const failWorker = (
  state: State,
  workerId: string,
  event: EventTime,
  gone: boolean,
): Effect[] => {
  state.jobs.placementDue = true;
  return [...listPartsOnWorker(state.jobs, workerId)].flatMap(([job, parts]) => {
    if (!gone && !isDecider(state, job, event.at)) return [];
    const losses = parts
      .filter((part) => part.state !== 'lost' || gone)
      .flatMap((part) => markLost(state, job, part, event, gone));
    return [
      ...losses,
      ...(job.state === 'stopping'
        ? updatePhase(state, job, event)
        : failGang(state, job, event, fault)),
    ];
  });
};
