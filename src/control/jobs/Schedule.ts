/** Repetition of a job: each occurrence runs all of its steps. */
export interface Schedule {
  /** Number of occurrences. */
  count: number;
  /** Epoch milliseconds of the first occurrence. */
  startAt: number;
  intervalMs: number;
}
