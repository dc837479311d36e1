/** Read position of this VM in a stream. */
export interface Cursor {
  /** `pages`: reads the newest record of each key; `tail`: follows new records. */
  phase: 'off' | 'pages' | 'tail';
  /** Monotonic time at which the pages were last begun. */
  pagesBegunAt: number;
  /** Offset of the next read in the `tail` phase. */
  nextOffset: number;
  /** Key after which the next page begins, or null for the first page. */
  afterKey: string | null;
  /** End offset of the stream at the first page, where the tail begins; null before that page. */
  tailOffset: number | null;
  /** ID of the pending read, or 0. */
  pendingReadId: number;
  /** Monotonic time at which the last read was sent. */
  readSentAt: number;
  /** Monotonic time at which the last read that returned the end of the stream was sent. */
  endReadSentAt: number;
  /** Monotonic time before which no read is sent. */
  nextReadAt: number;
  /** Consecutive failed reads. */
  failedReads: number;
  /** Monotonic time of the last successful read; negative infinity before the first. */
  lastSuccessAt: number;
  /** The same in responsive time. */
  lastHeardAt: number;
}
