/** Sizes that the store accepts, in bytes. */
export interface StoreLimits {
  /** Longest record: its key, the length of the key and its value. */
  maxRecordBytes: number;
  /** Most bytes of the records of one append, each with its length. */
  maxCallBytes: number;
}
