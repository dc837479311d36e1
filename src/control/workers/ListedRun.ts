/** A run that a worker lists as running. */
export interface ListedRun {
  /** Name of the task. */
  task: string;
  /** Number of the task's run. */
  run: number;
  /** Last checkpoint, or empty. */
  checkpoint: string;
  /** Reported progress of its work, 0 to 100. */
  percent: number;
}
