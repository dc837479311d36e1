import type { NodeId } from '../../../src/core/NodeId.js';

/** Connection between two daemons. */
export interface Link {
  ends: readonly [NodeId, NodeId];
  /** Counts connections; what was sent over an earlier one is lost. */
  generation: number;
  /** Whether each end takes the connection for open. */
  open: [boolean, boolean];
  /** Newest due time in each direction, which keeps the order. */
  lastDueAt: [number, number];
}
