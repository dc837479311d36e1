import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { StoredRecord } from '../usage/StoredRecord.js';

/** Hands the usage of the past interval to the usage feature. O(workspaces). */
export const flushUsageCounts = (state: State, wall: number): Effect[] => {
  const { usageCounts: counts } = state.requests;
  if (counts.size === 0) return [];
  const { vmId, incarnation } = state.self;
  const records = [...counts].map(([workspace, count]): StoredRecord => ({
    kind: 'requests',
    id: `${vmId}/${incarnation}/${wall}/${workspace}`,
    workspace,
    ...count,
    wall,
  }));
  counts.clear();
  return [{ type: 'emit', event: { type: 'usageNoted', records } }];
};
