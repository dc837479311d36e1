/** A record as the log stores and returns it. */
export interface LogRecord {
  offset: number;
  /** Epoch milliseconds of the append. */
  wall: number;
  data: unknown;
}
