import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';
import type { StoredRecord } from '../usage/StoredRecord.js';

/**
 * Records that the counts of short requests which a lost gateway had not handed on are unknown, for
 * each workspace for which it ended an attempt within that time. A gateway that comes back hands them on
 * late; the interval then stands beside them. O(workspaces of the gateway).
 */
export const noteLostCounts = (state: State, gateway: NodeId, wall: number): Effect[] => {
  const { usageCountMs, usageBatchMs, usageResendMs } = state.timing;
  const fromWall = wall - usageCountMs - usageBatchMs - usageResendMs;
  const counted = state.routing.countedWall.get(gateway) ?? new Map<string, number>();
  state.routing.countedWall.delete(gateway);
  const records = [...counted]
    .filter(([, endedWall]) => endedWall >= fromWall)
    .map(([workspace]): StoredRecord => ({
      kind: 'requestsUnknown',
      id: `${gateway}/${wall}/${workspace}`,
      workspace,
      gateway,
      fromWall,
      toWall: wall,
    }));
  return records.length === 0 ? [] : [{ type: 'emit', event: { type: 'usageNoted', records } }];
};
