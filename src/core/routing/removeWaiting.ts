import type { State } from '../State.js';
import { freeKey } from './freeKey.js';
import type { WaitingRequest } from './WaitingRequest.js';

/**
 * Removes the requests that match, from the queues and from those that wait for copies of their key,
 * and frees their keys, as none was granted. O(requests waiting).
 */
export const removeWaiting = (
  state: State,
  isRemoved: (request: WaitingRequest) => boolean,
): WaitingRequest[] => {
  const { routing } = state;
  const removed = [
    ...[...routing.queues.values()].flat(),
    ...routing.keyWaits.map((wait) => wait.request),
  ].filter(isRemoved);
  if (removed.length === 0) return [];
  routing.queues.forEach((queue, workspace) => {
    routing.queues.set(
      workspace,
      queue.filter((request) => !isRemoved(request)),
    );
  });
  routing.keyWaits = routing.keyWaits.filter((wait) => !isRemoved(wait.request));
  removed.forEach(({ keyId, requestId }) => {
    if (keyId !== undefined) freeKey(state, keyId, requestId);
  });
  return removed;
};
