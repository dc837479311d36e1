import type { UsageState } from './UsageState.js';

/** Tells whether records would be lost if this daemon ended now; a shutdown waits for them. */
export const hasUnstoredRecords = ({
  unsentRecords: open,
  sentBatches: unacknowledged,
  unreplicatedBatches: unreplicated,
}: UsageState): boolean => open.length + unacknowledged.size + unreplicated.size > 0;
