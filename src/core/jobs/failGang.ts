import type { Effect } from '../Effect.js';
import type { RetryReason } from '../RetryReason.js';
import type { State } from '../State.js';
import type { EventTime } from './EventTime.js';
import type { Job } from './Job.js';
import { recordTaskFailure } from './recordTaskFailure.js';
import { stopGang } from './stopGang.js';

type Blame = 'task' | 'worker' | 'none';

const maxFailedSets = 3;
// Bounds the starts of a job for which the zone has fewer than three different sets of workers.
const maxFailures = 9;

const noteFailure = (job: Job): void => {
  const set = [...new Set(job.parts.map((part) => part.workerId))].sort().join(',');
  job.failures += 1;
  if (!job.failedSets.includes(set)) job.failedSets.push(set);
};

/**
 * Stops a gang that cannot go on. `blame` says whether the job, its worker or neither is held
 * responsible; a job that failed on three sets of workers is not started again.
 * Cost: O(parts of the job).
 */
export const failGang = (
  state: State,
  job: Job,
  event: EventTime,
  fault: { reason: RetryReason; blame: Blame; workerIds: string[] },
): Effect[] => {
  if (job.state === 'stopping') return [];
  if (fault.blame === 'task') noteFailure(job);
  if (fault.blame !== 'none') {
    fault.workerIds.forEach((workerId) =>
      recordTaskFailure(state.jobs, workerId, job.id, event.at),
    );
  }
  const isBad = job.failedSets.length >= maxFailedSets || job.failures >= maxFailures;
  return [
    { type: 'countRetry', reason: fault.reason },
    ...stopGang(state, job, event, isBad ? 'fail' : 'requeue', fault.reason),
  ];
};
