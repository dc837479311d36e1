/** What the logs tell of one job; times are epoch milliseconds. */
export interface JobTrace {
  id: string;
  /** What its acceptance said of it, or null if that is not in the lines. */
  queue: string | null;
  workspace: string | null;
  /** Availability zone of the VM that accepted it. */
  zone: string | null;
  /** Accelerators of its widest step. */
  gpu: number | null;
  recordedAt: number | null;
  firstStartAt: number | null;
  endedAt: number | null;
  outcome: string | null;
  /** Why its first wait was logged: whether it was guaranteed, or null when it found room at once. */
  firstWaitGuaranteed: boolean | null;
  /** Runs that were lost, with their cause and how long they had run. */
  lostRuns: { cause: string; ranMs: number }[];
}
