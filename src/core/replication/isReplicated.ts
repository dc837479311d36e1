import type { Peer } from '../membership/Peer.js';
import { listZoneSchedulers } from '../membership/listZoneSchedulers.js';
import type { State } from '../State.js';

const mustAcknowledge = (state: State, peer: Peer, at: number): boolean => {
  if (peer.heartbeat?.draining) return false;
  // A peer that was disconnected for longer refuses keyed requests if it becomes lead.
  return peer.linked || at - peer.lastHeardAt < state.timing.aloneAfterMs;
};

/** Tells whether every scheduler that could become lead has the copies up to a sequence number. */
export const isReplicated = (state: State, sequence: number, at: number): boolean =>
  listZoneSchedulers(state, state.self.zone)
    .filter((peer) => mustAcknowledge(state, peer, at))
    .every((peer) => (state.replication.acknowledgedByPeer.get(peer.node) ?? -1) >= sequence);
