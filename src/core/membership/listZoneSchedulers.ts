import { getNodeRole } from '../getNodeRole.js';
import type { State } from '../State.js';
import type { Peer } from './Peer.js';

/** Lists the other schedulers of a zone, live or not. */
export const listZoneSchedulers = (state: State, zone: string): Peer[] =>
  [...state.membership.peers.values()].filter(
    (peer) => peer.zone === zone && getNodeRole(peer.node) === 'scheduler',
  );
