import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { handleJobDeadline } from './handleJobDeadline.js';
import { isDecider } from './isDecider.js';
import { takeDueJobs } from './takeDueJobs.js';

// Slots freed by short requests are noticed by a placement pass at this interval.
const placeEveryMs = 1000;

/** Decides on due jobs; a job of another scheduler is left alone. Cost: O(due entries). */
export const handleTick = (state: State, event: EventOf<'tick'>): Effect[] => {
  const { jobs } = state;
  if (jobs.queue.length > 0 && event.at >= jobs.placedAt + placeEveryMs) jobs.placementDue = true;
  return takeDueJobs(jobs, event.at).flatMap((job) => {
    if (isDecider(state, job, event.at)) return handleJobDeadline(state, job, event);
    job.dueAt = null;
    return [];
  });
};
