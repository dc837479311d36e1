import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { EventTime } from './EventTime.js';
import { failGang } from './failGang.js';
import { listPartsOnWorker } from './listPartsOnWorker.js';
import { mayControlJob } from './mayControlJob.js';
import { markPartLost } from './markPartLost.js';
import { advanceJobState } from './advanceJobState.js';

const fault = { reason: 'gang-part-lost', blame: 'none', workerIds: [] as string[] } as const;

/**
 * Stops the gangs with parts on a worker that restarted or, without `restarted`, stopped answering;
 * gangs that this scheduler no longer controls are then left to the worker's next holder.
 * Cost: O(tasks of the worker × parts of their gangs).
 */
export const failGangsOnWorker = (
  state: State,
  workerId: string,
  event: EventTime,
  restarted: boolean,
): Effect[] => {
  state.jobs.placementDue = true;
  return [...listPartsOnWorker(state.jobs, workerId)].flatMap(([job, parts]) => {
    if (!restarted && !mayControlJob(state, job, event.at)) return [];
    const losses = parts
      .filter((part) => part.state !== 'lost' || restarted)
      .flatMap((part) => markPartLost(state, job, part, event, restarted));
    return [
      ...losses,
      ...(job.state === 'stopping'
        ? advanceJobState(state, job, event)
        : failGang(state, job, event, fault)),
    ];
  });
};
