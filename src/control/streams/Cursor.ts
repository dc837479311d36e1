/** Position of this VM in a stream. */
export interface Cursor {
  /** Reading the newest record of each key, or following the end. */
  phase: 'off' | 'pages' | 'tail';
  /** Offset of the next read. */
  nextOffset: number;
  /** Key after which the next page begins. */
  afterKey: string | null;
  /** End of the stream before the first page, where the tail begins. */
  tailOffset: number | null;
  /** Read that is open, or 0. */
  openReadId: number;
  /** Monotonic time before which no read is sent. */
  nextReadAt: number;
  /** Failed reads since the last answer. */
  failedReads: number;
  /** Monotonic time of the last answer. */
  lastSuccessAt: number;
}
