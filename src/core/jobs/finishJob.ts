import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { formatShapeKey } from './formatShapeKey.js';
import { endJob } from './endJob.js';
import type { EventTime } from './EventTime.js';
import type { Job } from './Job.js';

// Weight of the newest run time in the moving average; about the last six runs count.
const newestWeight = 0.3;

/** Ends a job whose parts have all finished and updates the average run time of its shape. */
export const finishJob = (state: State, job: Job, event: EventTime): Effect[] => {
  const { jobs } = state;
  const effects = endJob(state, job, 'finished', event);
  const key = formatShapeKey(job);
  const before = jobs.observedRunMs.get(key) ?? job.ranMs;
  jobs.observedRunMs.set(key, before + newestWeight * (job.ranMs - before));
  job.parts.forEach((part) => jobs.failuresByWorker.delete(part.workerId));
  return effects;
};
