import type { StoredRecord } from './StoredRecord.js';

/** Events about the usage record inside a daemon. */
export interface UsageEvent {
  /** Derived: records to hand to the recorder. */
  type: 'usageNoted';
  records: StoredRecord[];
}
