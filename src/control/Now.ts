/** The time of the event that is being handled. */
export interface Now {
  /** Monotonic milliseconds. */
  at: number;
  /** Epoch milliseconds. */
  wall: number;
}
