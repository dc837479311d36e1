import type { NodeId } from '../NodeId.js';
import type { StoredRecord } from './StoredRecord.js';

/** A batch of records that a recorder holds until the log has acknowledged all of them. */
export interface HeldBatch {
  batchId: string;
  records: StoredRecord[];
  /** Daemon that waits for `usageStored`; null for a batch adopted from another recorder. */
  sender: NodeId | null;
  /** Whether `usageStored` has been sent. */
  storedReported: boolean;
  /** Recorder of another VM that was asked to keep a copy, or that has one; null if none was. */
  replica: NodeId | null;
  /** Monotonic time at which the copy was last sent; -Infinity if it was not. */
  replicaSentAt: number;
  /** Connected recorders that may have a copy; each is notified when the log has the batch. */
  copyHolders: Set<NodeId>;
  /** Number of records that the log has not acknowledged. */
  unacknowledgedCount: number;
}
