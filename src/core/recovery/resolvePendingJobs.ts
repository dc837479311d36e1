import type { EventTime } from '../jobs/EventTime.js';
import type { State } from '../State.js';
import { queueRecoveredJob } from './queueRecoveredJob.js';

/**
 * Completes jobs that were adopted from their tasks, and queues those whose tasks must have lapsed.
 * O(recovered jobs that wait).
 */
export const resolvePendingJobs = (state: State, time: EventTime): void => {
  const { recovery, jobs } = state;
  recovery.pendingJobs = recovery.pendingJobs.filter(({ job, queueAt: dueAt }) => {
    const known = jobs.jobs.get(job.id);
    if (known && !known.specKnown) {
      known.spec = job.spec;
      known.specKnown = true;
      state.replication.changedJobs.add(known.id);
    }
    if (!known && time.at >= dueAt) queueRecoveredJob(state, job, time);
    return !known && time.at < dueAt;
  });
};
