import type { StoredRecord } from './StoredRecord.js';

/** A scheduler lets the zone's other schedulers hold records that no recorder has stored yet. */
export interface UsageCopyMessage {
  type: 'usageCopy';
  sequence: number;
  records: StoredRecord[];
  /** Records of copies with a lower sequence number are stored and may be dropped. */
  storedBefore: number;
}
