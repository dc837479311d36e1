import type { JobsState } from './JobsState.js';

/** Creates a job table without jobs. */
export const createJobsState = (): JobsState => ({
  jobs: new Map(),
  queue: [],
  jobByTask: new Map(),
  tasksByWorker: new Map(),
  acceleratorsByWorker: new Map(),
  heardByWorker: new Map(),
});
