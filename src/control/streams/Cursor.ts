/** Position of this VM in a stream. */
export interface Cursor {
  /** Reading the newest record of each key, or following the end. */
  phase: 'off' | 'pages' | 'tail';
  /** Offset of the next read. */
  next: number;
  /** Key after which the next page begins. */
  pageAfter: string | null;
  /** End of the stream before the first page, where the tail begins. */
  tailFrom: number | null;
  /** Read that is open, or 0. */
  readId: number;
  /** Monotonic time before which no read is sent. */
  retryAt: number;
  /** Failed reads since the last answer. */
  failures: number;
  /** Monotonic time of the last answer. */
  lastOkAt: number;
}
