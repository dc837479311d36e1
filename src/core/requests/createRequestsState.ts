import type { RequestsState } from './RequestsState.js';

/** Creates the request table of a gateway without callers. */
export const createRequestsState = (): RequestsState => ({
  exchanges: new Map(),
  commands: new Map(),
  budget: { windowStartAt: 0, requests: 0, retries: 0 },
  counts: new Map(),
  nextCountsAt: 0,
});
