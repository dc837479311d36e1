import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { EventTime } from './EventTime.js';
import { scheduleJobs } from './scheduleJobs.js';

/** Wraps a handler so that a placement pass follows if the queue or the free capacity changed. */
export const withPlacement =
  <E extends EventTime>(handler: (state: State, event: E) => Effect[]) =>
  (state: State, event: E): Effect[] => {
    const effects = handler(state, event);
    return state.jobs.placementDue ? [...effects, ...scheduleJobs(state, event)] : effects;
  };
