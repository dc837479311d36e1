/** When the leader observed the end of a run in a worker's listing. */
export interface EndObservation {
  /** Monotonic time at which the worker answered; a VM that was suspended handles the answer later. */
  at: number;
  /** Time before the answer in which the worker was not polled; the run ended within it. */
  unobservedMs: number;
}
