import type { LogRecord } from './LogRecord.js';

/** One stream: the records that are still kept. */
export interface StreamState {
  nextOffset: number;
  /** Records with the monotonic time of their append, oldest first. */
  entries: { at: number; record: LogRecord }[];
}
