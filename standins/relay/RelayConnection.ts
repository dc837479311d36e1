import type { RelaySideState } from './RelaySideState.js';
import type { RelaySide } from './RelaySide.js';

/** One relayed connection. */
export interface RelayConnection {
  /** False for a connection that was accepted during a cut. */
  targetOpened: boolean;
  sides: Record<RelaySide, RelaySideState>;
}
