/** A line of the worker's usage report: a task that ran and ended, with times in epoch milliseconds. */
export interface UsageLine {
  seq: number;
  taskId: string;
  jobId: string;
  workspace: string;
  accelerators: number;
  startedWall: number;
  endedWall: number;
}
