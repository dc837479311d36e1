/** The time of the event being handled. */
export interface Now {
  /** Monotonic milliseconds. */
  at: number;
  /** Epoch milliseconds. */
  wall: number;
}
