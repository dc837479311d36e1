import { getNodeVm } from '../getNodeVm.js';
import type { State } from '../State.js';
import { isSchedulerLive } from './isSchedulerLive.js';
import { listZoneSchedulers } from './listZoneSchedulers.js';

/** Computes this scheduler's rank by VM id among live schedulers of its zone; 0 claims first. */
export const computeClaimRank = (state: State, at: number): number =>
  listZoneSchedulers(state, state.self.zone).filter(
    (peer) => isSchedulerLive(state, peer, at) && getNodeVm(peer.node) < state.self.vmId,
  ).length;
