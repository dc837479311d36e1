/** Workers on which the oldest gang that does not fit is going to start. */
export interface Reservation {
  jobId: string;
  workers: ReadonlySet<string>;
  /** Monotonic time at which the workers are expected to be free. */
  expectedAt: number;
}
