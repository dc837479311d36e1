import type { StoredRecord } from './StoredRecord.js';

/** A recorder asks another VM's recorder to keep records until the log has them. */
export interface UsageReplicaMessage {
  type: 'usageReplica';
  batchId: string;
  records: StoredRecord[];
}
