import type { Job } from './Job.js';

/** Creates a queued job without attempts. */
export const createJob = (
  fields: Pick<Job, 'id' | 'workspace' | 'zone' | 'spec' | 'submittedWall' | 'phaseAt'>,
): Job => ({
  ...fields,
  specKnown: true,
  state: 'queued',
  attempt: 0,
  parts: [],
  dueAt: null,
  ranMs: 0,
  failedSets: [],
  failures: 0,
  notBefore: -Infinity,
});
