import type { State } from '../State.js';
import { freeKey } from './freeKey.js';
import type { WaitingRequest } from './WaitingRequest.js';

/**
 * Removes the matching requests from the queues and from the pending key claims, and frees their
 * keys, because none was granted. O(waiting requests).
 */
export const removeRequests = (
  state: State,
  isRemoved: (request: WaitingRequest) => boolean,
): WaitingRequest[] => {
  const { routing } = state;
  const removed = [
    ...[...routing.queuesByWorkspace.values()].flat(),
    ...routing.pendingKeyClaims.map((claim) => claim.request),
  ].filter(isRemoved);
  if (removed.length === 0) return [];
  routing.queuesByWorkspace.forEach((queue, workspace) => {
    routing.queuesByWorkspace.set(
      workspace,
      queue.filter((request) => !isRemoved(request)),
    );
  });
  routing.pendingKeyClaims = routing.pendingKeyClaims.filter((claim) => !isRemoved(claim.request));
  removed.forEach(({ keyId, requestId }) => {
    if (keyId !== undefined) freeKey(state, keyId, requestId);
  });
  return removed;
};
