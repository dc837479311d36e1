import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { endJob } from './endJob.js';
import type { EventTime } from './EventTime.js';
import type { Job } from './Job.js';
import { queueJob } from './queueJob.js';
import { removePartUse } from './removePartUse.js';

const endStates = { cancel: 'cancelled', fail: 'failed' } as const;

/** Requeues or ends a stopped job whose parts have all ended. Cost: O(parts + queued jobs). */
export const finishStop = (state: State, job: Job, event: EventTime): Effect[] => {
  job.parts.forEach((part) => removePartUse(state.jobs, job, part));
  const after = job.afterStop ?? 'requeue';
  if (after !== 'requeue') return endJob(state, job, endStates[after], event);
  queueJob(state, job, event.at);
  return [];
};
