/**
 * The history of a job according to the logs; times are epoch milliseconds. A value that the logs lack is
 * null: queue, workspace, zone and size are logged with its acceptance.
 */
export interface JobTrace {
  id: string;
  queue: string | null;
  workspace: string | null;
  /** Availability zone of the VM that accepted it. */
  zone: string | null;
  /** Accelerators of its widest step. */
  gpu: number | null;
  /** Time of its acceptance. */
  recordedAt: number | null;
  firstStartAt: number | null;
  endedAt: number | null;
  outcome: string | null;
  /** Whether it was guaranteed when it first waited for capacity; null if it never waited. */
  firstWaitGuaranteed: boolean | null;
  /** Its lost runs, with the cause and how long they had run. */
  lostRuns: { cause: string; ranMs: number }[];
}
