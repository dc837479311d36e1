import type { UsageState } from './UsageState.js';

/** Tells whether records would be lost if this daemon ended now; a shutdown waits for them. */
export const hasUnstoredRecords = ({ open, unacknowledged, unreplicated }: UsageState): boolean =>
  open.length + unacknowledged.size + unreplicated.size > 0;
