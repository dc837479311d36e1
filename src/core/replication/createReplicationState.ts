import type { ReplicationState } from './ReplicationState.js';

/** Creates the replication state of a scheduler that has sent and received nothing. */
export const createReplicationState = (): ReplicationState => ({
  sequence: 0,
  acknowledgedByPeer: new Map(),
  changedKeys: new Set(),
  freedKeys: new Set(),
  changedJobs: new Set(),
  lastCompleteCopyAt: -Infinity,
  nextCopyAt: 0,
});
