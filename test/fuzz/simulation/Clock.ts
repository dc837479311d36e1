/** Monotonic clock of one machine; its rate differs a little from true time. */
export interface Clock {
  rate: number;
  offsetMs: number;
}
