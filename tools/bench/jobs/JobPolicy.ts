import type { GeneratedJob } from './GeneratedJob.js';
import type { JobTimes } from './JobTimes.js';

/** A job scheduling policy under test; `tick` is called every 100 ms of virtual time. */
export interface JobPolicy {
  submit: (job: GeneratedJob, at: number) => void;
  tick: (at: number) => void;
  /** Returns the times of a submitted job that are known so far. */
  getTimes: (job: GeneratedJob) => JobTimes;
  /** Lists the number of free accelerators on each worker. */
  listFreeAccelerators: () => number[];
}
