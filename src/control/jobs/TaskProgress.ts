/** Stored progress of a task that was started at least once. */
export interface TaskProgress {
  /** Number of the occurrence, from 0. */
  occurrence: number;
  /** Index of the step. */
  step: number;
  /** Index of the task within its step. */
  index: number;
  state: 'waiting' | 'started' | 'done';
  /** Number of the last run, counted from 1. */
  run: number;
  /** Failed runs; for a gang, those of its step. */
  failures: number;
  /** Worker of the last run, or empty; always empty for a done task, as is the checkpoint. */
  workerId: string;
  /** Newest checkpoint, or empty; for a gang, that of its step. */
  checkpoint: string;
  /**
   * Epoch milliseconds on the leader at which the last run was placed or its start was sent, or 0 if no
   * run is in progress.
   */
  startedAt: number;
}
