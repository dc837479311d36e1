import type { StoredRecord } from './StoredRecord.js';

/** A recorder sends another VM's recorder a copy of a batch, to keep until the log has it. */
export interface UsageReplicaMessage {
  type: 'usageReplica';
  batchId: string;
  records: StoredRecord[];
}
