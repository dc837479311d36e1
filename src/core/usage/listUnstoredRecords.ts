import type { StoredRecord } from './StoredRecord.js';
import type { UsageState } from './UsageState.js';

/** Lists the outbox's records that no recorder has reported stored. O(unstored records). */
export const listUnstoredRecords = ({
  unsentRecords: open,
  sentBatches: unacknowledged,
}: UsageState): StoredRecord[] => [
  ...[...unacknowledged.values()].flatMap(({ records }) => records),
  ...open,
];
