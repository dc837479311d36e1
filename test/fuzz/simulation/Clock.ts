/** Monotonic clock of one machine, at a rate relative to simulation time. */
export interface Clock {
  rate: number;
  offsetMs: number;
}
