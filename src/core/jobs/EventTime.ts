/** The times of the event being handled. */
export interface EventTime {
  /** Monotonic milliseconds. */
  at: number;
  /** Epoch milliseconds. */
  wall: number;
}
