import type { NodeId } from '../NodeId.js';

/** Progress of copying keys and jobs to the zone's other schedulers. */
export interface ReplicationState {
  sequence: number;
  acknowledgedByPeer: Map<NodeId, number>;
  /** Ids changed since the last `replicate` message. */
  changedKeys: Set<string>;
  freedKeys: Set<string>;
  changedJobs: Set<string>;
  /** Monotonic time at which a lead's complete copy last arrived here; -Infinity before the first. */
  lastCompleteCopyAt: number;
  nextCopyAt: number;
}
