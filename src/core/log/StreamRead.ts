/** Progress of reading a whole stream page by page. */
export interface StreamRead {
  /** Id of the read in flight, or null while a failed one waits for its repetition. */
  readId: string | null;
  nextReadAt: number;
  nextOffset: number;
}
