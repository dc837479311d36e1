/** What the logs tell of one job; times are epoch milliseconds. */
export interface JobTrace {
  id: string;
  /** Queue of the job, known once it has ended. */
  queue: string | null;
  recordedAt: number | null;
  firstStartAt: number | null;
  endedAt: number | null;
  outcome: string | null;
  /** Why its first wait was logged: whether it was guaranteed, or null when it found room at once. */
  waitedGuaranteed: boolean | null;
  /** Runs that were lost, with their cause and how long they had run. */
  lost: { cause: string; ranMs: number }[];
}
