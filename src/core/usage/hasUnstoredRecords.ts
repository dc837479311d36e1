import type { UsageState } from './UsageState.js';

/** Tells whether records could be lost if this daemon ended now; a shutdown waits for them. */
export const hasUnstoredRecords = ({
  unsentRecords,
  sentBatches,
  unreplicatedBatches,
}: UsageState): boolean => unsentRecords.length + sentBatches.size + unreplicatedBatches.size > 0;
