import type { StoredRecord } from './StoredRecord.js';

/** A daemon sends a batch of records to its recorder. */
export interface UsageRecordsMessage {
  type: 'usageRecords';
  batchId: string;
  records: StoredRecord[];
}
