import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { describeShape } from './describeShape.js';
import { closeJob } from './closeJob.js';
import type { EventTime } from './EventTime.js';
import type { Job } from './Job.js';

// Weight of the newest run time in the moving average; about the last six runs count.
const newestWeight = 0.3;

/** Finishes a job whose parts have all finished and learns its run time. */
export const finishJob = (state: State, job: Job, event: EventTime): Effect[] => {
  const { jobs } = state;
  const effects = closeJob(state, job, 'finished', event);
  const key = describeShape(job);
  const before = jobs.observedMs.get(key) ?? job.ranMs;
  jobs.observedMs.set(key, before + newestWeight * (job.ranMs - before));
  job.parts.forEach((part) => jobs.faultsByWorker.delete(part.workerId));
  return effects;
};
