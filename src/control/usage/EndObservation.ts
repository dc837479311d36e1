/** When a worker told of the end of a run. */
export interface EndObservation {
  /** Monotonic time at which it answered; a suspended VM takes an answer over later than that. */
  at: number;
  /** Time before that in which it was not looked at: the run ended somewhere in it. */
  unobservedMs: number;
}
