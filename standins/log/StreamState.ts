import type { LogRecord } from './LogRecord.js';

/** A stream with the records that have not expired. */
export interface StreamState {
  nextOffset: number;
  /** Records with the monotonic time of their append, oldest first. */
  entries: { at: number; record: LogRecord }[];
}
