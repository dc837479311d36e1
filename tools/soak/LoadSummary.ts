import type { LoopStall } from './LoopStall.js';

/** The worst of a soak's machine and of its store stand-in. */
export interface LoadSummary {
  meanBusyShare: number;
  maxBusyShare: number;
  maxLoadAverage: number;
  /** Longest time for which the harness stood still. */
  maxHarnessLagMs: number;
  /** Longest stall of the store stand-in, or null if it logged none. */
  longestStoreStall: LoopStall | null;
}
