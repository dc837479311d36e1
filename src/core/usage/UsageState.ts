import type { StoredRecord } from './StoredRecord.js';

/** Usage records on their way to the log. */
export interface UsageState {
  /** Batches sent and not yet reported stored, by batch id. */
  unacknowledged: Map<string, StoredRecord[]>;
  /** Records not yet in a batch. */
  open: StoredRecord[];
  nextBatch: number;
  nextBatchAt: number;
}
