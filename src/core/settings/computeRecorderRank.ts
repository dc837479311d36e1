import type { State } from '../State.js';

/** Computes this recorder's rank by VM id among the linked recorders; 0 is the first. */
export const computeRecorderRank = (state: State): number =>
  [...state.membership.peers.values()].filter(
    ({ node, linked }) =>
      linked && node.endsWith('/recorder') && node < `${state.self.vmId}/recorder`,
  ).length;
