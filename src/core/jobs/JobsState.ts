import type { Job } from './Job.js';

/** Jobs of a zone as its scheduler knows them. */
export interface JobsState {
  jobs: Map<string, Job>;
  /** Ids of queued jobs in order of submission. */
  queue: string[];
  /** Task id to job id, for tasks that occupy a worker. */
  jobByTask: Map<string, string>;
  /** Ids of the tasks on each worker. */
  tasksByWorker: Map<string, Set<string>>;
  /** Accelerators in use by tasks on each worker. */
  acceleratorsByWorker: Map<string, number>;
  /** Monotonic time of the newest answer of each worker. */
  heardByWorker: Map<string, number>;
}
