/** An event with the time at which the loop took it from its queue. */
export type Timed<E> = E & {
  /** Monotonic milliseconds; comparable between processes on one machine. */
  at: number;
  /** Epoch milliseconds. */
  wall: number;
};
