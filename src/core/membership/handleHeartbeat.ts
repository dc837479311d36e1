import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Stores the status that a scheduler reports. */
export const handleHeartbeat = (state: State, event: EventOf<'heartbeat'>): Effect[] => {
  const peer = state.membership.peers.get(event.from);
  if (!peer) return [];
  peer.lastHeardAt = event.at;
  peer.heartbeat = {
    zone: event.zone,
    incarnation: event.incarnation,
    lead: event.lead,
    heldWorkers: event.heldWorkers,
    draining: event.draining,
    settingsVersion: event.settingsVersion,
  };
  return [];
};
