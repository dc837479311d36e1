import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { getNodeRole } from '../getNodeRole.js';
import type { State } from '../State.js';
import { noteLostCounts } from './noteLostCounts.js';
import { freeKey } from './freeKey.js';

/** Forgets what a lost gateway was waiting for and marks the slots that it uses. */
export const handleLinkClosed = (state: State, event: EventOf<'linkClosed'>): Effect[] => {
  const { routing } = state;
  if (state.self.role !== 'scheduler' || getNodeRole(event.node) !== 'gateway') return [];
  const isGone = (request: { gateway: string }): boolean => request.gateway === event.node;
  routing.queues.forEach((queue, workspace) => {
    queue
      .filter((request) => isGone(request) && request.keyId !== undefined)
      .forEach((request) => freeKey(state, request.keyId!, request.requestId));
    routing.queues.set(
      workspace,
      queue.filter((request) => !isGone(request)),
    );
  });
  routing.keyWaits
    .filter((wait) => isGone(wait.request))
    .forEach((wait) => freeKey(state, wait.request.keyId!, wait.request.requestId));
  routing.keyWaits = routing.keyWaits.filter((wait) => !isGone(wait.request));
  routing.grants.forEach((grant) => {
    if (isGone(grant)) grant.orphanedAt = event.at;
  });
  return noteLostCounts(state, event.node, event.wall);
};
