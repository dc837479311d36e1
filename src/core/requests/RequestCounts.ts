/** Counts of one workspace's attempts in one counting interval. */
export interface RequestCounts {
  /** Answers with a status below 500. */
  answered: number;
  /** Answers with a status of 500 or above. */
  failed: number;
  /** Attempts whose outcome is unknown. */
  unknown: number;
  /** Sum of the times from dispatch to the end of each attempt, in milliseconds. */
  busyMs: number;
}
