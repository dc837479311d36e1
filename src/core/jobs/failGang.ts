import type { Effect } from '../Effect.js';
import type { RetryReason } from '../RetryReason.js';
import type { State } from '../State.js';
import type { EventTime } from './EventTime.js';
import type { Job } from './Job.js';
import { recordTaskFailure } from './recordTaskFailure.js';
import { stopGang } from './stopGang.js';

type Blame = 'task' | 'worker' | 'none';

// A job that failed on this many sets of workers is itself faulty, not the workers.
const maxFailedSets = 3;
// Limits the attempts in a zone with fewer than `maxFailedSets` different sets of workers.
const maxFailures = 9;

const recordFailedAttempt = (job: Job): void => {
  const set = [...new Set(job.parts.map((part) => part.workerId))].sort().join(',');
  job.failures += 1;
  if (!job.failedSets.includes(set)) job.failedSets.push(set);
};

/**
 * Stops a gang that cannot go on. `blame` tells whether the failure counts against the job (`task`)
 * and the workers `workerIds`, against these workers only, or against neither. The job fails for
 * good after too many failures and returns to the queue otherwise.
 * Cost: O(parts of the job).
 */
export const failGang = (
  state: State,
  job: Job,
  event: EventTime,
  fault: { reason: RetryReason; blame: Blame; workerIds: string[] },
): Effect[] => {
  if (job.state === 'stopping') return [];
  if (fault.blame === 'task') recordFailedAttempt(job);
  if (fault.blame !== 'none') {
    fault.workerIds.forEach((workerId) =>
      recordTaskFailure(state.jobs, workerId, job.id, event.at),
    );
  }
  const isGivenUp = job.failedSets.length >= maxFailedSets || job.failures >= maxFailures;
  return [
    { type: 'countRetry', reason: fault.reason },
    ...stopGang(state, job, event, isGivenUp ? 'fail' : 'requeue', fault.reason),
  ];
};
