import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { setJobDeadline } from './setJobDeadline.js';
import { sendTaskCall } from './sendTaskCall.js';
import type { EventTime } from './EventTime.js';
import type { Job } from './Job.js';
import { setJobState } from './setJobState.js';
import { stopGang } from './stopGang.js';

/**
 * Stops a gang and requeues its job: after a checkpoint if it runs, at once if it is only starting.
 * Cost: O(parts of the job).
 */
export const preemptGang = (state: State, job: Job, event: EventTime, reason: string): Effect[] => {
  if (job.state === 'checkpointing' || job.state === 'stopping') return [];
  if (job.state !== 'running') return stopGang(state, job, event, 'requeue', reason);
  setJobState(state, job, 'checkpointing', event.at);
  setJobDeadline(state.jobs, job, event.at + state.timing.checkpointMs);
  job.reason = reason;
  return job.parts
    .filter((part) => part.state === 'running')
    .flatMap((part) => {
      part.state = 'checkpointing';
      part.changedAt = event.at;
      part.checkpointBefore = part.checkpoint;
      part.checkpoint = null;
      return sendTaskCall(state, job, part, 'checkpointTask', event.at);
    });
};
