import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { setJobDeadline } from './setJobDeadline.js';
import { addPartUse } from './addPartUse.js';
import { sendTaskCall } from './sendTaskCall.js';
import type { EventTime } from './EventTime.js';
import type { Job } from './Job.js';
import type { PartPlacement } from './PartPlacement.js';
import { removeFromQueue } from './removeFromQueue.js';
import { setJobState } from './setJobState.js';

/** Begins a new attempt of a queued job by preparing its parts. Cost: O(parts + queued jobs). */
export const startGang = (
  state: State,
  job: Job,
  placements: PartPlacement[],
  { at }: EventTime,
): Effect[] => {
  removeFromQueue(state.jobs, job.id);
  setJobState(state, job, 'preparing', at);
  setJobDeadline(state.jobs, job, at + state.timing.gangStartMs);
  job.attempt += 1;
  delete job.reason;
  job.parts = placements.map((placement, index) => ({
    ...placement,
    index,
    taskId: `${job.id}.${job.attempt}.${index}`,
    state: 'assigned',
    changedAt: at,
    startSentWall: null,
    startedWall: null,
    checkpoint: null,
    checkpointBefore: null,
    expiresAt: null,
  }));
  return job.parts.flatMap((part) => {
    addPartUse(state.jobs, job, part);
    return sendTaskCall(state, job, part, 'prepareTask', at);
  });
};
