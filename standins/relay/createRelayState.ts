import type { RelayState } from './RelayState.js';

/** Creates a relay without faults. */
export const createRelayState = (): RelayState => ({
  faults: { cut: false, cutMode: 'freeze', cutSide: 'both', delayMs: 0 },
  connections: new Map(),
});
