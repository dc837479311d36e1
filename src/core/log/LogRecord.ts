/** One record of a log stream. */
export interface LogRecord {
  offset: number;
  /** Epoch milliseconds at which the log stored the record, by the log's own clock. */
  wall: number;
  /** JSON data. */
  data: unknown;
}
