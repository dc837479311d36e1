import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Keeps the grants of a gateway that reconnected in time, and forgets its goodbye. */
export const handleLinkOpened = (state: State, event: EventOf<'linkOpened'>): Effect[] => {
  state.routing.departedGateways.delete(event.node);
  state.routing.grants.forEach((grant) => {
    if (grant.gateway === event.node) grant.gatewayLostAt = null;
  });
  return [];
};
