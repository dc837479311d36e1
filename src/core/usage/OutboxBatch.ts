import type { StoredRecord } from './StoredRecord.js';

/** A batch sent to the recorder and not yet reported as stored. */
export interface OutboxBatch {
  records: StoredRecord[];
  /** Monotonic time of the newest send. */
  sentAt: number;
}
