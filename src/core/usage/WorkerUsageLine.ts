/** One line of a worker's usage report. */
export interface WorkerUsageLine {
  /** Sequence number of the line within the worker's process. */
  seq: number;
  taskId: string;
  jobId: string;
  workspace: string;
  accelerators: number;
  /** Milliseconds that the task has run, by the worker's own clock. */
  ranMs: number;
  /** Whether the task has ended, so that `ranMs` is final. */
  ended: boolean;
}
