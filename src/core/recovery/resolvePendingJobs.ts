import type { EventTime } from '../jobs/EventTime.js';
import type { State } from '../State.js';
import { queueRecoveredJob } from './queueRecoveredJob.js';

/**
 * Adds the specification to jobs that were adopted from their tasks, and queues jobs whose task
 * leases have lapsed. O(pending jobs).
 */
export const resolvePendingJobs = (state: State, time: EventTime): void => {
  const { recovery, jobs } = state;
  recovery.pendingJobs = recovery.pendingJobs.filter(({ job, queueAt }) => {
    const knownJob = jobs.jobs.get(job.id);
    if (knownJob && !knownJob.specKnown) {
      knownJob.spec = job.spec;
      knownJob.specKnown = true;
      state.replication.changedJobs.add(knownJob.id);
    }
    if (!knownJob && time.at >= queueAt) queueRecoveredJob(state, job, time);
    return !knownJob && time.at < queueAt;
  });
};
