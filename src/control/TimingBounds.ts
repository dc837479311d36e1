/** Times that the platform's operators set, in milliseconds. */
export interface TimingBounds {
  /** Longest lease that a worker grants. */
  maxLeaseMs: number;
  /** How long the state of an ended job must stay readable. */
  statusKeepMs: number;
  /** Time from a shutdown request to the forced end of the process. */
  graceMs: number;
  /** Time between two writes of a worker into the registry; three that are missing remove it. */
  heartbeatMs: number;
}
