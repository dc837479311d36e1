import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { resolvePendingJobs } from './resolvePendingJobs.js';

/**
 * Adds recovered jobs to the pending ones. They wait until a worker that still runs their tasks is
 * claimed or the task leases have lapsed, so that no gang starts while an older attempt of it runs.
 */
export const handleJobsRecovered = (state: State, event: EventOf<'jobsRecovered'>): Effect[] => {
  const { recovery, timing } = state;
  if (event.queryId !== recovery.queryId) return [];
  const queueAt = event.at + timing.taskLeaseMs + timing.workerCallTimeoutMs;
  recovery.pendingJobs.push(...event.jobs.map((job) => ({ job, queueAt })));
  if (event.complete) {
    recovery.nextQueryAt = null;
    recovery.queryId = null;
  }
  resolvePendingJobs(state, event);
  return [
    { type: 'log', level: 'info', code: 'jobs_recovered', fields: { jobs: event.jobs.length } },
  ];
};
