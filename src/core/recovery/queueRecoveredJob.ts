import { addJob } from '../jobs/addJob.js';
import { createJob } from '../jobs/createJob.js';
import type { EventTime } from '../jobs/EventTime.js';
import { queueJob } from '../jobs/queueJob.js';
import type { State } from '../State.js';
import type { RecoveredJob } from './RecoveredJob.js';

/**
 * Queues a recovered job of which no task is left. Its attempts go on from the present second, so
 * that task ids and usage records of attempts before the loss are never used again.
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
