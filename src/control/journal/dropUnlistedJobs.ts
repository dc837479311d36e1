import type { State } from '../State.js';

/**
 * Drops the jobs that the pages of the journal, read since the given monotonic time, no longer contain: their tombstones
 * expired before this VM read them.
 */
export const dropUnlistedJobs = (state: State, pagesBegunAt: number): void => {
  state.jobs.forEach((job, id) => {
    if (job.submission && job.submissionReadAt < pagesBegunAt) state.jobs.delete(id);
  });
};
