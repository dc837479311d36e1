import type { PendingAppend } from './PendingAppend.js';

/** The lead's appends to one stream, one at a time. */
export interface StreamWriter {
  /** Number of the next append. */
  nextSequence: number;
  pending: PendingAppend | null;
  /** Monotonic time at which the last append was begun. */
  lastAppendAt: number;
  /** Offset up to which must be read before anything is decided. */
  fenceEndOffset: number;
}
