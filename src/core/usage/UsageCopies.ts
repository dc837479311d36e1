import type { NodeId } from '../NodeId.js';
import type { StoredRecord } from './StoredRecord.js';

/** Exchange of copies of unstored records between the schedulers of a zone. */
export interface UsageCopies {
  /** Sequence number of the newest copy. */
  sequence: number;
  /** Records added since the newest copy. */
  unsent: StoredRecord[];
  /** Record ids of sent copies, from the oldest copy with an unstored record. */
  sent: { sequence: number; ids: string[] }[];
  /** Last sent `storedBefore` of the `usageCopy` message. */
  storedBefore: number;
  /** Copies received from other schedulers, oldest first. */
  heldByScheduler: Map<NodeId, { sequence: number; records: StoredRecord[] }[]>;
}
