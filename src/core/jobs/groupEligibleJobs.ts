import { groupBy } from '../groupBy.js';
import type { State } from '../State.js';
import type { Job } from './Job.js';

/**
 * Groups by workspace the queued jobs that may start now: urgent ones first, then in order of
 * submission. Jobs that wait for a restart delay or are reclaiming capacity are left out.
 * Cost: O(queued jobs log queued jobs).
 */
export const groupEligibleJobs = (state: State, at: number): Map<string, Job[]> => {
  const { jobs } = state;
  const eligible = jobs.queue
    .flatMap((id) => jobs.jobs.get(id) ?? [])
    .filter((job) => job.notBefore <= at && !jobs.reclaimHolds.has(job.id))
    .sort((a, b) => Number(b.spec.urgent) - Number(a.spec.urgent));
  return groupBy(eligible, (job) => job.workspace);
};
