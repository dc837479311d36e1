/** What an oracle needs to know of a run; times are monotonic. */
export interface ObservedRun {
  workerId: string;
  startedAt: number;
  endedAt: number | null;
  kind: string | null;
  /** Its end was acknowledged. */
  noted: boolean;
  /** The lease lapsed between the end and its acknowledgement. */
  lapsedSince: boolean;
}
