import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { StoredRecord } from '../usage/StoredRecord.js';

/** Turns the request counts of the past interval into usage records. O(workspaces). */
export const flushUsageCounts = (state: State, wall: number): Effect[] => {
  const { usageCounts } = state.requests;
  if (usageCounts.size === 0) return [];
  const { vmId, incarnation } = state.self;
  const records = [...usageCounts].map(([workspace, workspaceCounts]): StoredRecord => ({
    kind: 'requests',
    id: `${vmId}/${incarnation}/${wall}/${workspace}`,
    workspace,
    ...workspaceCounts,
    wall,
  }));
  usageCounts.clear();
  return [{ type: 'emit', event: { type: 'usageNoted', records } }];
};
