import type { NodeId } from '../NodeId.js';
import type { StoredRecord } from './StoredRecord.js';

/** Copy of a batch that another VM's recorder holds. */
export interface ReplicaBatch {
  batchId: string;
  /** Recorder that sent the copy. */
  origin: NodeId;
  records: StoredRecord[];
  /** Monotonic time at which this recorder adopts the copy; null while the origin is connected. */
  adoptAt: number | null;
}
