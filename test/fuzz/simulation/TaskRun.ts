/** A task that ran on a worker, as the worker saw it, on true time. */
export interface TaskRun {
  taskId: string;
  jobId: string;
  attempt: number;
  index: number;
  parts: number;
  workerId: string;
  startedAt: number;
  endedAt: number | null;
  /** `lost`: the worker's process ended. */
  end: 'finished' | 'failed' | 'stopped' | 'lost' | null;
}
