import type { TimingBounds } from './TimingBounds.js';
import type { Self } from './Self.js';
import { defaultStoreLimits } from './settings/defaultStoreLimits.js';
import type { StoreLimits } from './settings/StoreLimits.js';
import type { State } from './State.js';
import type { Cursor } from './streams/Cursor.js';

const createCursor = (): Cursor => ({
  phase: 'off',
  pagesBegunAt: Number.NEGATIVE_INFINITY,
  nextOffset: 0,
  afterKey: null,
  tailOffset: null,
  pendingReadId: 0,
  readSentAt: Number.NEGATIVE_INFINITY,
  endReadSentAt: Number.NEGATIVE_INFINITY,
  nextReadAt: 0,
  failedReads: 0,
  lastSuccessAt: Number.NEGATIVE_INFINITY,
  lastHeardAt: Number.NEGATIVE_INFINITY,
});

/** Creates the initial state of a daemon, before any stream is read. */
export const createState = (
  self: Self,
  bounds: TimingBounds,
  storeLimits: StoreLimits = defaultStoreLimits,
): State => ({
  self,
  bounds,
  storeLimits,
  lastCallId: 0,
  config: null,
  streams: {
    config: createCursor(),
    journal: createCursor(),
    runs: createCursor(),
    claims: createCursor(),
    workers: createCursor(),
  },
  jobs: new Map(),
  callers: {
    openRequests: new Map(),
    appendsByKey: new Map(),
    appendsById: new Map(),
    ready: false,
  },
  leader: { token: 0, vmId: '', lastSeenAt: null, resigned: false },
  election: { phase: 'idle', pendingCallId: 0, backoffUntil: 0, lastOwnToken: 0 },
  term: null,
  shutdownAt: null,
});
