import type { GeneratedJob } from './GeneratedJob.js';
import type { JobTimes } from './JobTimes.js';

/** A job scheduler under test, driven once every 100 ms. */
export interface JobPolicy {
  submit: (job: GeneratedJob, at: number) => void;
  tick: (at: number) => void;
  /** Times of a submitted job as they are known now. */
  getTimes: (job: GeneratedJob) => JobTimes;
  /** Accelerators not in use on each worker. */
  listFreeAccelerators: () => number[];
}
