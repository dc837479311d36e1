import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';

// Longer than a scan of the stream, because a repeated query restarts the scan.
const queryIntervalMs = 30_000;

/** Queries the VM's recorder for the zone's open jobs when due, until the answer is complete. */
export const sendJobsQuery = (state: State, at: number): Effect[] => {
  const { recovery, self } = state;
  const recorder: NodeId = `${self.vmId}/recorder`;
  const linked = state.membership.peers.get(recorder)?.linked ?? false;
  if (recovery.nextQueryAt === null || at < recovery.nextQueryAt || !linked) return [];
  recovery.nextQueryAt = at + queryIntervalMs;
  recovery.queryId = `${self.vmId}/${self.incarnation}/${recovery.nextQueryNumber}`;
  recovery.nextQueryNumber += 1;
  const { queryId } = recovery;
  return [{ type: 'send', to: recorder, message: { type: 'jobsQuery', queryId, zone: self.zone } }];
};
