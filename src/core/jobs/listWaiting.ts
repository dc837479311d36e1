import { collectBy } from '../collectBy.js';
import type { State } from '../State.js';
import type { Job } from './Job.js';

/**
 * Lists the jobs that may start now by workspace: urgent ones first, then in order of submission.
 * Cost: O(queued jobs log queued jobs).
 */
export const listWaiting = (state: State, at: number): Map<string, Job[]> => {
  const { jobs } = state;
  const ready = jobs.queue
    .flatMap((id) => jobs.jobs.get(id) ?? [])
    .filter((job) => job.notBefore <= at && !jobs.holds.has(job.id))
    .sort((a, b) => Number(b.spec.urgent) - Number(a.spec.urgent));
  return collectBy(ready, (job) => job.workspace);
};
