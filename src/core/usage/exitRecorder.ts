import type { Effect } from '../Effect.js';
import { getNodeVm } from '../getNodeVm.js';
import type { State } from '../State.js';
import { hasUnstoredRecords } from './hasUnstoredRecords.js';

/**
 * Ends a draining recorder when its VM's other daemons have ended and its records are stored, or
 * after `shutdownMs`.
 */
export const exitRecorder = (state: State, at: number): Effect[] => {
  const { membership, timing, self } = state;
  const drainStartedAt = membership.drainingSince;
  if (self.role !== 'recorder' || drainStartedAt === null || membership.exited) return [];
  const hasLinkedDaemons = [...membership.peers.values()].some(
    (peer) => peer.linked && getNodeVm(peer.node) === self.vmId,
  );
  const hasUnstored = hasUnstoredRecords(state.usage);
  if ((hasLinkedDaemons || hasUnstored) && at - drainStartedAt < timing.shutdownMs) return [];
  membership.exited = true;
  return [
    { type: 'log', level: 'info', code: 'shutdown_finished', fields: { unstored: hasUnstored } },
    { type: 'exit' },
  ];
};
