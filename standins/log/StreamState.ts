import type { KeptRecord } from './KeptRecord.js';

/** One stream: the records that are still kept. */
export interface StreamState {
  nextOffset: number;
  /** Records with the monotonic time of their append, oldest first. */
  kept: { at: number; record: KeptRecord }[];
}
