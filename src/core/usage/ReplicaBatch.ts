import type { NodeId } from '../NodeId.js';
import type { StoredRecord } from './StoredRecord.js';

/** A copy of a batch that another VM's recorder holds. */
export interface ReplicaBatch {
  batchId: string;
  origin: NodeId;
  records: StoredRecord[];
  /** Monotonic time at which this recorder appends the copy itself; null while linked. */
  adoptAt: number | null;
}
