/** What this VM has read about the current leader. */
export interface LeaderView {
  /** Highest fencing token seen, or 0. */
  token: number;
  /** VM that holds the token, or empty. */
  vmId: string;
  /**
   * Responsive time from which the leader's silence counts: its last record, or a later time at which it
   * may have been unable to write; null before the first check.
   */
  lastSeenAt: number | null;
  /** Whether the leader has resigned. */
  resigned: boolean;
}
