import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Notes a daemon whose connection was opened. */
export const handleLinkOpened = (state: State, event: EventOf<'linkOpened'>): Effect[] => {
  state.membership.peers.set(event.node, {
    node: event.node,
    zone: event.zone,
    linked: true,
    lastHeardAt: event.at,
  });
  // Tells the new peer about this daemon at the next tick instead of after a whole interval.
  state.membership.nextHeartbeatAt = event.at;
  state.membership.nextRemoteHeartbeatAt = event.at;
  return [];
};
