/** The worst of a soak's machine and of its store stand-in. */
export interface LoadSummary {
  meanBusyShare: number;
  maxBusyShare: number;
  maxLoadAverage: number;
  /** Longest time for which the harness stood still. */
  maxHarnessLagMs: number;
  /** Longest time for which the event loop of the store stand-in stood still, or 0 if it logged none. */
  maxStoreLagMs: number;
}
