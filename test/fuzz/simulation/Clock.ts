/** Monotonic clock of one machine, at a rate relative to simulation time. */
export interface Clock {
  /** Milliseconds of the clock per millisecond of simulation time. */
  rate: number;
  /** Reading at simulation time 0. */
  offsetMs: number;
}
