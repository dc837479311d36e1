import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { EventTime } from './EventTime.js';
import type { Job } from './Job.js';
import { stopGang } from './stopGang.js';

/**
 * Stops a gang after its checkpoint. The references are kept only if every part has a new one,
 * because checkpoints taken at different times are not consistent. Cost: O(parts of the job).
 */
export const finishCheckpoint = (state: State, job: Job, event: EventTime): Effect[] => {
  const taken = job.parts.flatMap((part) => part.checkpoint ?? []);
  if (taken.length === job.spec.tasks) job.checkpoints = taken;
  return stopGang(state, job, event, 'requeue', job.reason ?? 'checkpointed');
};
