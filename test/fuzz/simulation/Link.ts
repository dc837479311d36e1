import type { NodeId } from '../../../src/core/NodeId.js';

/** Connection between two daemons. */
export interface Link {
  ends: readonly [NodeId, NodeId];
  /** Number of the current connection; messages sent over an earlier one are lost. */
  generation: number;
  /** Whether each end considers the connection open. */
  open: [boolean, boolean];
  /** Latest delivery time in each direction; keeps messages in order. */
  lastDueAt: [number, number];
}
