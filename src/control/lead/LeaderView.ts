/** What this VM has read about the lead. */
export interface LeaderView {
  /** Highest fencing token that was seen. */
  token: number;
  vmId: string;
  /** Monotonic time of the last sign of the lead while the journal was followed; null at first. */
  lastSeenAt: number | null;
  /** The lead has given up its term. */
  resigned: boolean;
}
