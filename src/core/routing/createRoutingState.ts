import type { RoutingState } from './RoutingState.js';

/** Creates empty queues. */
export const createRoutingState = (): RoutingState => ({
  loads: new Map(),
  grants: new Map(),
  queues: new Map(),
  served: new Map(),
  classMeanMs: new Map(),
  classTakenAt: new Map(),
  failedWorkersByClass: new Map(),
  departed: new Set(),
  keys: new Map(),
  keyWaits: [],
  keyMemoryGapUntil: 0,
});
