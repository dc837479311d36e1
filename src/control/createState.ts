import type { Bounds } from './Bounds.js';
import type { Self } from './Self.js';
import type { State } from './State.js';
import type { Cursor } from './streams/Cursor.js';

const createCursor = (): Cursor => ({
  phase: 'off',
  next: 0,
  pageAfter: null,
  tailFrom: null,
  readId: 0,
  retryAt: 0,
  failures: 0,
  lastOkAt: Number.NEGATIVE_INFINITY,
});

/** Creates the state of a daemon that has read nothing yet. */
export const createState = (self: Self, bounds: Bounds): State => ({
  self,
  bounds,
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
  callers: { open: new Map(), byJob: new Map(), appends: new Map(), ready: false },
  lead: { token: 0, vmId: '', lastSeenAt: null, resigned: false },
  election: { phase: 'idle', callId: 0, waitUntil: 0, lastToken: 0 },
  term: null,
  shutdownAt: null,
});
