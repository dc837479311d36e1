/** Times that the platform's operators set, in milliseconds. */
export interface Bounds {
  /** Longest lease that a worker grants. */
  maxLeaseMs: number;
  /** Longest time that a worker takes to stop a run. */
  stopTimeoutMs: number;
  /** Longest time that a member of a gang waits for the others. */
  gangTimeoutMs: number;
  /** How long the state of an ended job must stay readable. */
  statusKeepMs: number;
  /** Slow-down of work away from its data, or of a gang on several racks. */
  remoteFactor: number;
  /** Time from a shutdown request to the forced end of the process. */
  graceMs: number;
}
