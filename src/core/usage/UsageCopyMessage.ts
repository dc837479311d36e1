import type { StoredRecord } from './StoredRecord.js';

/** A scheduler sends the zone's other schedulers records that no recorder has stored yet. */
export interface UsageCopyMessage {
  type: 'usageCopy';
  sequence: number;
  records: StoredRecord[];
  /** Copies with a lower sequence number are stored and may be deleted. */
  storedBefore: number;
}
