import type { StoredRecord } from './StoredRecord.js';
import type { UsageState } from './UsageState.js';

/** Lists the records that no recorder has reported as stored. O(unstored records). */
export const listUnstoredRecords = ({ unsentRecords, sentBatches }: UsageState): StoredRecord[] => [
  ...[...sentBatches.values()].flatMap(({ records }) => records),
  ...unsentRecords,
];
