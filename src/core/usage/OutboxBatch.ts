import type { StoredRecord } from './StoredRecord.js';

/** Records sent to the recorder and not yet reported stored. */
export interface OutboxBatch {
  records: StoredRecord[];
  /** Monotonic time of the newest send. */
  sentAt: number;
}
