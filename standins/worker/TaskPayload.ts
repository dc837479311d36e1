/** Behaviour of a task, as given by its payload. */
export interface TaskPayload {
  /** Run time at speed 1 without overload. */
  runMs: number;
  /** Whether the task fails at the end of its run time. */
  fail: boolean;
  checkpointMs: number;
}
