import type { StoredRecord } from './StoredRecord.js';
import type { UsageState } from './UsageState.js';

/** Lists the outbox's records that no recorder has reported stored. O(unstored records). */
export const listUnstoredRecords = ({ unsentRecords, sentBatches }: UsageState): StoredRecord[] => [
  ...[...sentBatches.values()].flatMap(({ records }) => records),
  ...unsentRecords,
];
