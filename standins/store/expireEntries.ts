import { entryTtlMs } from './entryTtlMs.js';
import { openTopic } from './openTopic.js';
import { registryTopic } from './registryTopic.js';
import type { StoreState } from './StoreState.js';

/** Removes the registry entries whose workers missed three heartbeats; in an outage only if they expire then. */
export const expireEntries = (state: StoreState, at: number): void => {
  const { heartbeats, faults } = state;
  if (faults.outage !== 'none' && !faults.entriesExpire) return;
  heartbeats.forEach(({ receivedAt }, key) => {
    if (receivedAt + entryTtlMs > at) return;
    heartbeats.delete(key);
    openTopic(state, registryTopic).records.push({ key, value: Buffer.alloc(0) });
  });
};
