import type { NodeId } from '../NodeId.js';
import type { StoredRecord } from './StoredRecord.js';

/** Exchange of copies of unstored records between the schedulers of a zone. */
export interface UsageCopies {
  /** Sequence number of the newest copy. */
  sequence: number;
  /** Records added since the newest copy. */
  unsent: StoredRecord[];
  /** Record ids of the sent copies, from the oldest one that contains an unstored record. */
  sent: { sequence: number; ids: string[] }[];
  /** `storedBefore` of the newest `usageCopy` message. */
  storedBefore: number;
  /** Copies received from other schedulers, oldest first. */
  heldByScheduler: Map<NodeId, { sequence: number; records: StoredRecord[] }[]>;
}
