import type { RequestsState } from './RequestsState.js';

/** Creates the requests state of a gateway without callers. */
export const createRequestsState = (): RequestsState => ({
  exchanges: new Map(),
  pendingCommands: new Map(),
  retryBudget: { windowStartAt: 0, requests: 0, retries: 0 },
  usageCounts: new Map(),
  nextFlushAt: 0,
});
