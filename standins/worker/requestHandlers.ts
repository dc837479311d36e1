import type { WorkerHandlers } from './WorkerHandlers.js';
import { recordRequest } from './recordRequest.js';
import type { ShortRequest } from './ShortRequest.js';

/** Handlers of short requests. */
export const requestHandlers: Pick<
  WorkerHandlers,
  'shortRequested' | 'shortClosed' | 'connectionDropped'
> = {
  shortRequested: (state, { requestId, request: received, at, wall }) => {
    if (state.faults.resetRequests) return [{ type: 'destroyConnection', requestId }];
    const request: ShortRequest = {
      ...received,
      phase: 'working',
      callerGone: false,
      ...(state.faults.failEverything ? { status: 500, remainingMs: 0 } : {}),
    };
    state.requests.set(requestId, request);
    recordRequest(state, request, { at, wall });
    return [];
  },

  shortClosed: (state, { requestId, complete, at, wall }) => {
    const request = state.requests.get(requestId);
    if (!request) return [];
    if (request.phase === 'working') {
      request.callerGone = true;
      return [];
    }
    state.requests.delete(requestId);
    recordRequest(state, request, { at, wall }, complete ? 'answered' : 'interrupted');
    return [];
  },

  connectionDropped: (state) => {
    state.droppedConnections += 1;
    return [];
  },
};
