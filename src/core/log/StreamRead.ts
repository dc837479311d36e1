/** Progress of reading a whole stream, page by page. */
export interface StreamRead {
  /** Id of the read in flight, or null between reads. */
  readId: string | null;
  /** Monotonic milliseconds before which no page is read. */
  nextReadAt: number;
  nextOffset: number;
}
