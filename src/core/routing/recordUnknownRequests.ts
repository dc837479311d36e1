import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';
import { allWorkspaces } from '../usage/allWorkspaces.js';
import type { StoredRecord } from '../usage/StoredRecord.js';

/**
 * Records that the counts of short requests which a lost gateway of this zone had not handed on are
 * unknown. Nobody else knows which workspaces it served, as its VM may have taken the scheduler that
 * granted them along. If the gateway lives, its counts appear beside the interval.
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
    fromWall: wall - usageCountMs - usageBatchMs - usageResendMs,
    toWall: wall,
  };
  return [{ type: 'emit', event: { type: 'usageNoted', records: [record] } }];
};
