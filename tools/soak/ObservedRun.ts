/** A run as the checks of guarantees see it; times are monotonic. */
export interface ObservedRun {
  workerId: string;
  startedAt: number;
  endedAt: number | null;
  kind: string | null;
  /** Whether its end was acknowledged. */
  noted: boolean;
  /** Whether the lease lapsed between the end and its acknowledgement. */
  lapsedSince: boolean;
}
