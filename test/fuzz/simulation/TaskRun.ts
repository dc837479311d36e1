/** A run of a task on a worker, in simulation time. */
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
