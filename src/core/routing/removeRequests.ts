import type { State } from '../State.js';
import { freeKey } from './freeKey.js';
import type { WaitingRequest } from './WaitingRequest.js';

/**
 * Removes the requests that match, from the queues and from those that wait for copies of their key,
 * and frees their keys, as none was granted. O(requests waiting).
 */
export const removeRequests = (
  state: State,
  isRemoved: (request: WaitingRequest) => boolean,
): WaitingRequest[] => {
  const { routing } = state;
  const removed = [
    ...[...routing.queuesByWorkspace.values()].flat(),
    ...routing.pendingKeyClaims.map((wait) => wait.request),
  ].filter(isRemoved);
  if (removed.length === 0) return [];
  routing.queuesByWorkspace.forEach((queue, workspace) => {
    routing.queuesByWorkspace.set(
      workspace,
      queue.filter((request) => !isRemoved(request)),
    );
  });
  routing.pendingKeyClaims = routing.pendingKeyClaims.filter((wait) => !isRemoved(wait.request));
  removed.forEach(({ keyId, requestId }) => {
    if (keyId !== undefined) freeKey(state, keyId, requestId);
  });
  return removed;
};
