/** The times of the event being decided on. */
export interface EventTime {
  /** Monotonic milliseconds. */
  at: number;
  /** Epoch milliseconds. */
  wall: number;
}
