import type { PendingWrite } from './PendingWrite.js';

/** The lead's appends to one stream, one at a time. */
export interface LeadWriter {
  /** Number of the next append. */
  sequence: number;
  write: PendingWrite | null;
  /** Monotonic time at which the last append was begun. */
  lastAt: number;
  /** Offset up to which must be read before anything is decided. */
  fenceEnd: number;
}
