import type { NodeId } from '../NodeId.js';
import type { StoredRecord } from './StoredRecord.js';

/** A batch that a recorder holds until the log has acknowledged each of its records. */
export interface HeldBatch {
  batchId: string;
  records: StoredRecord[];
  /** Daemon that waits for `usageStored`; null for a batch taken over from another recorder. */
  from: NodeId | null;
  /** Whether `usageStored` has been sent. */
  reported: boolean;
  /** Recorder of another VM that was asked to keep a copy, or null. */
  replica: NodeId | null;
  replicaSentAt: number;
  /** All linked recorders that may have a copy; each is told when the log has the batch. */
  copies: Set<NodeId>;
  /** Records that the log has not acknowledged. */
  remaining: number;
}
