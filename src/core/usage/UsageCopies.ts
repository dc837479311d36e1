import type { NodeId } from '../NodeId.js';
import type { StoredRecord } from './StoredRecord.js';

/** Copies of unstored records between the schedulers of a zone. */
export interface UsageCopies {
  sequence: number;
  /** Records noted since the last copy. */
  unsent: StoredRecord[];
  /** Copies sent whose records are not all stored, oldest first. */
  sent: { sequence: number; ids: string[] }[];
  storedBefore: number;
  /** Copies of other schedulers, oldest first. */
  heldByScheduler: Map<NodeId, { sequence: number; records: StoredRecord[] }[]>;
}
