import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Adds a peer whose connection was opened. */
export const handleLinkOpened = (state: State, event: EventOf<'linkOpened'>): Effect[] => {
  state.membership.peers.set(event.node, {
    node: event.node,
    zone: event.zone,
    linked: true,
    lastHeardAt: event.at,
  });
  // Sends the next heartbeat at once, so that the new peer need not wait for a whole interval.
  state.membership.nextHeartbeatAt = event.at;
  state.membership.nextRemoteHeartbeatAt = event.at;
  return [];
};
