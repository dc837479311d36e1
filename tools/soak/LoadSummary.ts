import type { LoopStall } from './LoopStall.js';

/** The worst of a soak's machine and of its store stand-in. */
export interface LoadSummary {
  meanBusyShare: number;
  maxBusyShare: number;
  maxLoadAverage: number;
  /** Longest stall of the harness, or null if it was never sampled. */
  longestHarnessStall: LoopStall | null;
  /** Longest stall of the store stand-in, or null if it logged none. */
  longestStoreStall: LoopStall | null;
}
