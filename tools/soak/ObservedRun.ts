/** A run as the checks of guarantees see it; times are monotonic. */
export interface ObservedRun {
  workerId: string;
  startedAt: number;
  /** Time of its end, or null while it is in progress. */
  endedAt: number | null;
  /** How it ended, for example `done`; null while it is in progress. */
  kind: string | null;
  /** Whether its end was acknowledged. */
  noted: boolean;
  /** Whether the lease lapsed between the end and its acknowledgement. */
  lapsedSince: boolean;
}
