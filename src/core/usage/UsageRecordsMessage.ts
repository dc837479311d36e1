import type { StoredRecord } from './StoredRecord.js';

/** Records on their way to a recorder, or from a recorder to its replica. */
export interface UsageRecordsMessage {
  type: 'usageRecords';
  batchId: string;
  records: StoredRecord[];
}
