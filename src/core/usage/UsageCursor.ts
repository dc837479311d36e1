/** Progress of comparing a worker's usage report with the recorded runs. */
export interface UsageCursor {
  /**
   * Process of the worker, whose restart resets the sequence numbers; null before the first report.
   */
  incarnation: string | null;
  /** Sequence number of the newest line that needs no further comparison. */
  comparedSeq: number;
  /** Monotonic time of the next read. */
  nextReadAt: number;
}
