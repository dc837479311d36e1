/** A record as the log keeps and returns it. */
export interface KeptRecord {
  offset: number;
  /** Epoch milliseconds of the append. */
  wall: number;
  data: unknown;
}
