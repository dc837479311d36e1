/** The history of a job according to the logs; times are epoch milliseconds. */
export interface JobTrace {
  id: string;
  /** Queue, workspace, zone and size are known from its acceptance; null if that was not logged. */
  queue: string | null;
  workspace: string | null;
  /** Availability zone of the VM that accepted it, or null. */
  zone: string | null;
  /** Accelerators of its widest step, or null. */
  gpu: number | null;
  recordedAt: number | null;
  firstStartAt: number | null;
  endedAt: number | null;
  outcome: string | null;
  /** Whether it was guaranteed when it first waited for capacity, or null if it never waited. */
  firstWaitGuaranteed: boolean | null;
  /** Its lost runs, with the cause and how long they had run. */
  lostRuns: { cause: string; ranMs: number }[];
}
