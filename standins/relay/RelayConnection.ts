import type { RelayHalf } from './RelayHalf.js';
import type { RelaySide } from './RelaySide.js';

/** One relayed connection. */
export interface RelayConnection {
  /** False for a connection that was accepted during a cut. */
  targetOpened: boolean;
  halves: Record<RelaySide, RelayHalf>;
}
