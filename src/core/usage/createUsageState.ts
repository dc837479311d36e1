import type { AppendQueue } from './AppendQueue.js';
import type { UsageState } from './UsageState.js';

const createAppendQueue = (): AppendQueue => ({
  waiting: [],
  inFlight: null,
  nextAppendAt: 0,
  backoffMs: 0,
});

/** Creates a usage state without records. */
export const createUsageState = (): UsageState => ({
  sentBatches: new Map(),
  unsentRecords: [],
  nextBatchNumber: 1,
  nextBatchAt: 0,
  nextGaugeAt: 0,
  recordedRuns: new Map(),
  copies: { sequence: 0, unsent: [], sent: [], storedBefore: 0, heldByScheduler: new Map() },
  cursors: new Map(),
  heldBatches: new Map(),
  unreplicatedBatches: new Set(),
  appendQueues: { usage: createAppendQueue(), jobs: createAppendQueue() },
  nextAppendNumber: 1,
  replicas: new Map(),
  orphanedReplicas: new Set(),
  reports: new Set(),
  nextReadNumber: 1,
});
