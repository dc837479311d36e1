import type { RoutingState } from './RoutingState.js';

/** Creates empty queues. */
export const createRoutingState = (): RoutingState => ({
  workerLoads: new Map(),
  grants: new Map(),
  queuesByWorkspace: new Map(),
  virtualTimeByWorkspace: new Map(),
  meanMsByClass: new Map(),
  lastGrantAtByClass: new Map(),
  failedWorkersByClass: new Map(),
  departedGateways: new Set(),
  keys: new Map(),
  pendingKeyClaims: [],
  keysRefusedUntil: 0,
});
