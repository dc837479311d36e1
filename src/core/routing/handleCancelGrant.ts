import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { freeKey } from './freeKey.js';

/** Removes a waiting request whose caller left. O(requests waiting). */
export const handleCancelGrant = (state: State, event: EventOf<'cancelGrant'>): Effect[] => {
  const isCancelled = (request: { requestId: string; attempt: number }): boolean =>
    request.requestId === event.requestId && request.attempt === event.attempt;
  const { routing } = state;
  routing.queues.forEach((queue, workspace) => {
    const cancelled = queue.find(isCancelled);
    if (!cancelled) return;
    if (cancelled.keyId !== undefined) freeKey(state, cancelled.keyId, cancelled.requestId);
    routing.queues.set(
      workspace,
      queue.filter((request) => request !== cancelled),
    );
  });
  routing.keyWaits
    .filter((wait) => isCancelled(wait.request))
    .forEach((wait) => freeKey(state, wait.request.keyId!, wait.request.requestId));
  routing.keyWaits = routing.keyWaits.filter((wait) => !isCancelled(wait.request));
  return [];
};
