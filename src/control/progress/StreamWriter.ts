import type { PendingAppend } from './PendingAppend.js';

/** State of the leader's appends to one stream; at most one append is pending. */
export interface StreamWriter {
  /** Sequence number of the next append. */
  nextSequence: number;
  pending: PendingAppend | null;
  /** Appends that follow the pending one, in order. */
  queued: PendingAppend[];
  /** Monotonic time at which the last append was created. */
  lastAppendAt: number;
  /**
   * End offset of the fencing append, infinite until that succeeds; the stream must be read up to it
   * before scheduling begins.
   */
  fenceEndOffset: number;
}
