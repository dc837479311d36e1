/** How far a worker's usage report has been compared with the record. */
export interface UsageCursor {
  /** Process of the worker; its sequence numbers start again with another one. */
  incarnation: string | null;
  /** Sequence number of the newest line that needs no further comparison. */
  comparedSeq: number;
  nextReadAt: number;
}
