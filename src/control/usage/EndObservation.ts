/** When the leader observed the end of a run in a worker's listing. */
export interface EndObservation {
  /** Monotonic time at which the worker answered; a VM that was suspended handles the answer later. */
  at: number;
  /** Monotonic time of the worker's last answer before; until `unobservedTo` it was not polled. */
  unobservedFrom: number;
  /** Monotonic time at which the poll was sent that showed the end. */
  unobservedTo: number;
}
