import type { StoreRecord } from './StoreRecord.js';

/** The only partition of a topic. */
export interface TopicState {
  records: StoreRecord[];
  /** Highest epoch of each producer, with its last number and the answer to it. */
  producers: Map<string, { epoch: number; sequence: number; offset: number; endOffset: number }>;
}
