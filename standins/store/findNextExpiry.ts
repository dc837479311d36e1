import { entryTtlMs } from './entryTtlMs.js';
import type { StoreState } from './StoreState.js';

/** Finds the monotonic time at which the next registry entry expires, or null while none can. */
export const findNextExpiry = ({ heartbeats, faults }: StoreState): number | null => {
  if (faults.outage !== 'none' && !faults.entriesExpire) return null;
  const receivedTimes = [...heartbeats.values()].map(({ receivedAt }) => receivedAt);
  return receivedTimes.length > 0 ? Math.min(...receivedTimes) + entryTtlMs : null;
};
