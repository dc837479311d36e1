/** Times that the platform's operators set, in milliseconds. */
export interface Bounds {
  /** Longest lease that a worker grants. */
  maxLeaseMs: number;
  /** How long the state of an ended job must stay readable. */
  statusKeepMs: number;
  /** Time from a shutdown request to the forced end of the process. */
  graceMs: number;
}
