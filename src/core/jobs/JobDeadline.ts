/** A time at which a job is checked; ignored when the job's `dueAt` has changed since. */
export interface JobDeadline {
  /** Monotonic milliseconds. */
  at: number;
  jobId: string;
}
