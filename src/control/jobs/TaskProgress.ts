/** What the journal keeps about one task that was started at least once. */
export interface TaskProgress {
  occurrence: number;
  step: number;
  index: number;
  state: 'waiting' | 'started' | 'done';
  /** Number of the last start; starts of a task are numbered from 1. */
  run: number;
  /** Runs that ended as failed. */
  failures: number;
  /** Worker of the last start. */
  workerId: string;
  checkpoint: string;
  /** Epoch milliseconds at the lead when the last run began, or 0 when none is under way. */
  startedAt: number;
}
