/** Workers reserved for the oldest gang that does not fit, so that later jobs do not starve it. */
export interface Reservation {
  jobId: string;
  /** Ids of the reserved workers. */
  workers: ReadonlySet<string>;
  /** Monotonic time in milliseconds at which the gang is expected to fit on the workers. */
  expectedAt: number;
}
