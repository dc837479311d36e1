import type { NodeId } from '../NodeId.js';

/** Progress of replicating idempotency keys and jobs in the zone; times are monotonic, in ms. */
export interface ReplicationState {
  /** Number of the last `replicate` message sent. */
  sequence: number;
  /** Highest sequence number acknowledged by each peer. */
  acknowledgedByPeer: Map<NodeId, number>;
  /** Ids of the keys changed since the last copy to the zone. */
  changedKeys: Set<string>;
  /** Ids of the keys freed since then, because their attempt was proved not sent. */
  freedKeys: Set<string>;
  /** Ids of the jobs changed since then. */
  changedJobs: Set<string>;
  /** When a lead's copy was last received completely; -Infinity before the first. */
  lastCompleteCopyAt: number;
  /** When the lead sends the next copy even if nothing has changed. */
  nextCopyAt: number;
}
