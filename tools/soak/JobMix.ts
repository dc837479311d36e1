/** Sizes and rate of the jobs that clients submit. */
export interface JobMix {
  longJobProbability: number;
  /** Shortest and longest run time of the tasks of a long job. */
  minLongRunMs: number;
  maxLongRunMs: number;
  /** Time between two jobs, times the number of workers. */
  jobIntervalPerWorkerMs: number;
}
