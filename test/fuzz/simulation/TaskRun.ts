/** A run of a task on a worker, in simulation time. */
export interface TaskRun {
  taskId: string;
  jobId: string;
  attempt: number;
  index: number;
  parts: number;
  workerId: string;
  startedAt: number;
  /** Null while the task runs. */
  endedAt: number | null;
  /** `lost`: the worker's process ended; null while the task runs. */
  end: 'finished' | 'failed' | 'stopped' | 'lost' | null;
}
