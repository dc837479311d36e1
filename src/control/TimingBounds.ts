/** Time limits set by the platform's operators, in milliseconds. */
export interface TimingBounds {
  /** Longest lease that a worker grants. */
  maxLeaseMs: number;
  /** Minimum time for which the state of an ended job stays readable. */
  statusKeepMs: number;
  /** Time from the shutdown request until the process is killed. */
  graceMs: number;
}
