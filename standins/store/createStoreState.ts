import type { StoreState } from './StoreState.js';

/** Creates an empty store without faults. */
export const createStoreState = (seed: number): StoreState => ({
  topics: new Map(),
  polls: [],
  heartbeats: new Map(),
  faults: { outage: 'none', entriesExpire: false, lostShare: 0, refusedReads: null, delayMs: 0 },
  randomState: seed,
});
