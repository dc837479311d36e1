import { getNodeVm } from '../getNodeVm.js';
import type { State } from '../State.js';
import { isVmLeaving } from './isVmLeaving.js';
import type { Peer } from './Peer.js';

/** Tells whether a scheduler sends heartbeats, is not draining, and its VM is not leaving. */
export const isSchedulerLive = (state: State, peer: Peer, at: number): boolean =>
  peer.linked &&
  peer.heartbeat !== undefined &&
  !peer.heartbeat.draining &&
  at - peer.lastHeardAt < state.timing.peerSilenceMs &&
  !isVmLeaving(state, getNodeVm(peer.node));
