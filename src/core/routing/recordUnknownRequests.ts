import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';
import { allWorkspaces } from '../usage/allWorkspaces.js';
import type { StoredRecord } from '../usage/StoredRecord.js';

/**
 * Records an interval of unknown request counts for a disconnected gateway of this zone that said
 * no goodbye. The record covers all workspaces, because the scheduler that granted the gateway's
 * requests may be lost with the same VM. If the gateway still runs, its counts are recorded as
 * well.
 */
export const recordUnknownRequests = (state: State, gateway: NodeId, wall: number): Effect[] => {
  const { usageCountMs, usageBatchMs, usageResendMs } = state.timing;
  const isLocal = state.membership.peers.get(gateway)?.zone === state.self.zone;
  if (!isLocal || state.routing.departedGateways.has(gateway)) return [];
  const record: StoredRecord = {
    kind: 'requestsUnknown',
    id: `${gateway}/${state.self.vmId}/${wall}`,
    workspace: allWorkspaces,
    gateway,
    // Counts may be missing that were still being collected, in a batch not yet sent, or in a batch
    // sent but not yet stored.
    fromWall: wall - usageCountMs - usageBatchMs - usageResendMs,
    toWall: wall,
  };
  return [{ type: 'emit', event: { type: 'usageNoted', records: [record] } }];
};
