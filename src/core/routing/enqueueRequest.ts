import type { State } from '../State.js';
import type { WaitingRequest } from './WaitingRequest.js';

/** Adds a request to its workspace's queue. A workspace that was idle keeps no credit from then. */
export const enqueueRequest = (state: State, request: WaitingRequest): void => {
  const { queuesByWorkspace: queues, virtualTimeByWorkspace: served } = state.routing;
  const queue = queues.get(request.workspace) ?? [];
  if (queue.length === 0) {
    const active = [...queues].filter(([, other]) => other.length > 0);
    const floor = Math.min(...active.map(([workspace]) => served.get(workspace) ?? 0));
    if (active.length > 0) {
      served.set(request.workspace, Math.max(served.get(request.workspace) ?? 0, floor));
    }
  }
  queue.push(request);
  queues.set(request.workspace, queue);
};
