import type { Effect } from '../Effect.js';
import { getNodeVm } from '../getNodeVm.js';
import type { State } from '../State.js';
import { hasUnstoredRecords } from './hasUnstoredRecords.js';

/** Ends a draining recorder after its VM's other daemons, when every record is stored. */
export const exitRecorder = (state: State, at: number): Effect[] => {
  const { membership, timing, self } = state;
  const since = membership.drainingSince;
  if (self.role !== 'recorder' || since === null || membership.exited) return [];
  const served = [...membership.peers.values()].some(
    (peer) => peer.linked && getNodeVm(peer.node) === self.vmId,
  );
  const unstored = hasUnstoredRecords(state.usage);
  if ((served || unstored) && at - since < timing.shutdownMs) return [];
  membership.exited = true;
  return [
    { type: 'log', level: 'info', code: 'shutdown_finished', fields: { unstored } },
    { type: 'exit' },
  ];
};
