/** A record as the log keeps and returns it. */
export interface LogRecord {
  offset: number;
  /** Epoch milliseconds of the append. */
  wall: number;
  data: unknown;
}
