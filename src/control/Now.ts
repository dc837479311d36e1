/** The time of the event being handled. */
export interface Now {
  /** Monotonic milliseconds. */
  at: number;
  /** Epoch milliseconds. */
  wall: number;
  /** Milliseconds for which this process was responsive; used to judge the silence of others. */
  responsiveAt: number;
}
