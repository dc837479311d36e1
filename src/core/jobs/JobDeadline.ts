/** A time at which a job is looked at; void when the job's `dueAt` differs. */
export interface JobDeadline {
  /** Monotonic milliseconds. */
  at: number;
  jobId: string;
}
