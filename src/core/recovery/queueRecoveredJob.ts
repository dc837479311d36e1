import { addJob } from '../jobs/addJob.js';
import { createJob } from '../jobs/createJob.js';
import type { EventTime } from '../jobs/EventTime.js';
import { queueJob } from '../jobs/queueJob.js';
import type { State } from '../State.js';
import type { RecoveredJob } from './RecoveredJob.js';

/**
 * Queues a recovered job that has no running tasks. Its attempt number starts at the current epoch
 * second, so that task ids and usage record ids of attempts before the loss are not reused.
 */
export const queueRecoveredJob = (
  state: State,
  job: RecoveredJob,
  { at, wall }: EventTime,
): void => {
  const attempt = Math.floor(wall / 1000);
  const created = { ...createJob({ ...job, phaseAt: at }), attempt };
  addJob(state.jobs, created);
  queueJob(state, created, at);
  state.jobs.placementDue = true;
};
