import type { NodeId } from '../NodeId.js';
import type { StoredRecord } from './StoredRecord.js';

/** A batch that a recorder holds until the log has acknowledged each of its records. */
export interface HeldBatch {
  batchId: string;
  records: StoredRecord[];
  /** Daemon that waits for `usageStored`; null for a batch taken over from another recorder. */
  sender: NodeId | null;
  /** Whether `usageStored` has been sent. */
  storedReported: boolean;
  /** Recorder of another VM that was asked to keep a copy, or null. */
  replica: NodeId | null;
  replicaSentAt: number;
  /** All linked recorders that may have a copy; each is told when the log has the batch. */
  copyHolders: Set<NodeId>;
  /** Records that the log has not acknowledged. */
  unacknowledgedCount: number;
}
