import type { RelayState } from './RelayState.js';

/** Creates a relay without faults. */
export const createRelayState = (): RelayState => ({
  faults: { cut: false, cutMode: 'freeze', delayMs: 0 },
  connections: new Map(),
});
