import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { getNodeRole } from '../getNodeRole.js';
import type { State } from '../State.js';
import { recordUnknownRequests } from './recordUnknownRequests.js';
import { removeRequests } from './removeRequests.js';

/** Removes the waiting requests of a disconnected gateway and marks its grants as orphaned. */
export const handleLinkClosed = (state: State, event: EventOf<'linkClosed'>): Effect[] => {
  const { routing } = state;
  if (state.self.role !== 'scheduler' || getNodeRole(event.node) !== 'gateway') return [];
  const isFromGateway = (request: { gateway: string }): boolean => request.gateway === event.node;
  removeRequests(state, isFromGateway);
  routing.grants.forEach((grant) => {
    if (isFromGateway(grant)) grant.gatewayLostAt = event.at;
  });
  return recordUnknownRequests(state, event.node, event.wall);
};
