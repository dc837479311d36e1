/** Times at which the steps of a job run again. */
export interface Schedule {
  count: number;
  /** Epoch milliseconds of the first occurrence. */
  startAt: number;
  intervalMs: number;
}
