import type { LaneState } from './LaneState.js';
import type { UsageState } from './UsageState.js';

const createLane = (): LaneState => ({
  waiting: [],
  inFlight: null,
  nextAppendAt: 0,
  backoffMs: 0,
});

/** Creates a usage state without records. */
export const createUsageState = (): UsageState => ({
  unacknowledged: new Map(),
  open: [],
  nextBatch: 1,
  nextBatchAt: 0,
  nextGaugeAt: 0,
  runs: new Map(),
  copies: { sequence: 0, unsent: [], sent: [], storedBefore: 0, held: new Map() },
  cursors: new Map(),
  held: new Map(),
  unreplicated: new Set(),
  lanes: { usage: createLane(), jobs: createLane() },
  nextAppend: 1,
  replicas: new Map(),
  detached: new Set(),
  reports: new Set(),
  nextRead: 1,
});
