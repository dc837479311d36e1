import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { EventTime } from './EventTime.js';
import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import { removePartUse } from './removePartUse.js';
import { advanceJobState } from './advanceJobState.js';

/** Marks a lost part as no longer running, although its task lease may not have expired yet. */
export const resolveLostPart = (
  state: State,
  job: Job,
  part: JobPart,
  event: EventTime,
): Effect[] => {
  part.expiresAt = null;
  removePartUse(state.jobs, job, part);
  return advanceJobState(state, job, event);
};
