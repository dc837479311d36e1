import type { EventTime } from '../jobs/EventTime.js';
import type { State } from '../State.js';
import { applyRecoveredJob } from './applyRecoveredJob.js';

/**
 * Completes jobs that were adopted from their tasks, and queues those whose tasks must have lapsed.
 * O(recovered jobs that wait).
 */
export const resolvePending = (state: State, time: EventTime): void => {
  const { recovery, jobs } = state;
  recovery.pending = recovery.pending.filter(({ job, dueAt }) => {
    const known = jobs.jobs.get(job.id);
    if (known && !known.specKnown) {
      known.spec = job.spec;
      known.specKnown = true;
      state.replication.changedJobs.add(known.id);
    }
    if (!known && time.at >= dueAt) applyRecoveredJob(state, job, time);
    return !known && time.at < dueAt;
  });
};
