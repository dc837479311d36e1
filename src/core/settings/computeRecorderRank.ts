import type { State } from '../State.js';

/** Counts the linked recorders whose VM id is lower than this one's. */
export const computeRecorderRank = (state: State): number =>
  [...state.membership.peers.values()].filter(
    ({ node, linked }) =>
      linked && node.endsWith('/recorder') && node < `${state.self.vmId}/recorder`,
  ).length;
