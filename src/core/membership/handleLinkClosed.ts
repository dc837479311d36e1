import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Marks a peer as disconnected. */
export const handleLinkClosed = (state: State, event: EventOf<'linkClosed'>): Effect[] => {
  const peer = state.membership.peers.get(event.node);
  if (peer) {
    peer.linked = false;
    peer.lastHeardAt = event.at;
  }
  return [];
};
