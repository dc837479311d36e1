/** Behaviour of a task, as given by its payload. */
export interface TaskPayload {
  /** Run time at speed 1 without overload. */
  runMs: number;
  /** Whether the task fails at the end of its run time. */
  fail: boolean;
  /** Duration of a checkpoint, during which the task pauses. */
  checkpointMs: number;
}
