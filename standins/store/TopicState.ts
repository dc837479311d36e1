import type { StoreRecord } from './StoreRecord.js';

/** The single partition of a topic. */
export interface TopicState {
  records: StoreRecord[];
  /** Highest epoch of each producer, with its last sequence number and the answer to that append. */
  producers: Map<string, { epoch: number; sequence: number; offset: number; endOffset: number }>;
}
