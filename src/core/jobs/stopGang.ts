import type { Effect } from '../Effect.js';
import { isWorkerHeld } from '../ownership/isWorkerHeld.js';
import type { State } from '../State.js';
import { setJobDeadline } from './setJobDeadline.js';
import { sendTaskCall } from './sendTaskCall.js';
import type { EventTime } from './EventTime.js';
import { finishStop } from './finishStop.js';
import { isPartEnded } from './isPartEnded.js';
import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import { markPartLost } from './markPartLost.js';
import { setJobState } from './setJobState.js';

const finality = { requeue: 0, fail: 1, cancel: 2 } as const;

const stopPart = (state: State, job: Job, part: JobPart, event: EventTime): Effect[] => {
  if (part.state === 'lost' || isPartEnded(part, event.at)) return [];
  return isWorkerHeld(state, part.workerId, event.at)
    ? sendTaskCall(state, job, part, 'stopTask', event.at)
    : markPartLost(state, job, part, event, false);
};

/**
 * Stops every part of a gang. `afterStop` tells what happens to the job then; of several calls, the
 * most final value wins. A job whose specification is not known fails instead of being requeued.
 * Cost: O(parts of the job).
 */
export const stopGang = (
  state: State,
  job: Job,
  event: EventTime,
  afterStop: 'requeue' | 'cancel' | 'fail',
  reason: string,
): Effect[] => {
  const next = afterStop === 'requeue' && !job.specKnown ? 'fail' : afterStop;
  if (job.afterStop === undefined || finality[next] > finality[job.afterStop]) {
    job.afterStop = next;
    job.reason = reason;
    state.replication.changedJobs.add(job.id);
  }
  if (job.state === 'stopping') return [];
  setJobState(state, job, 'stopping', event.at);
  setJobDeadline(state.jobs, job, event.at + state.timing.renewEveryMs);
  const stops = job.parts.flatMap((part) => stopPart(state, job, part, event));
  const hasEnded = job.parts.every((part) => isPartEnded(part, event.at));
  return [
    { type: 'count', name: 'gang_stopped' },
    ...stops,
    ...(hasEnded ? finishStop(state, job, event) : []),
  ];
};
