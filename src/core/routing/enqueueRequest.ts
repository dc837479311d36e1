import type { State } from '../State.js';
import type { WaitingRequest } from './WaitingRequest.js';

/**
 * Adds a request to its workspace's queue; a workspace gains no credit from the time it was idle.
 */
export const enqueueRequest = (state: State, request: WaitingRequest): void => {
  const { queuesByWorkspace, virtualTimeByWorkspace } = state.routing;
  const queue = queuesByWorkspace.get(request.workspace) ?? [];
  if (queue.length === 0) {
    const nonEmptyQueues = [...queuesByWorkspace].filter(([, other]) => other.length > 0);
    const minVirtualTime = Math.min(
      ...nonEmptyQueues.map(([workspace]) => virtualTimeByWorkspace.get(workspace) ?? 0),
    );
    if (nonEmptyQueues.length > 0) {
      virtualTimeByWorkspace.set(
        request.workspace,
        Math.max(virtualTimeByWorkspace.get(request.workspace) ?? 0, minVirtualTime),
      );
    }
  }
  queue.push(request);
  queuesByWorkspace.set(request.workspace, queue);
};
