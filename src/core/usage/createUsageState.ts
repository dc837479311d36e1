import type { UsageState } from './UsageState.js';

/** Creates a usage outbox without records. */
export const createUsageState = (): UsageState => ({
  unacknowledged: new Map(),
  open: [],
  nextBatch: 1,
  nextBatchAt: 0,
});
