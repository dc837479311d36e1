import type { PartState } from '../jobs/PartState.js';

/**
 * State of one task as its worker reports it, with all that a scheduler needs to adopt the task.
 */
export interface TaskReport {
  taskId: string;
  jobId: string;
  workspace: string;
  /** Gang start to which the task belongs; counted per job. */
  attempt: number;
  /** Position of the task in its gang, from 0. */
  index: number;
  /** Number of tasks of the whole gang. */
  parts: number;
  accelerators: number;
  state: PartState;
  /** Reference of the newest checkpoint. */
  checkpoint?: string;
  /** Milliseconds that the task has run, by the worker's own clock. */
  ranMs: number;
  /** Milliseconds since the task's end, by the worker's own clock; absent while it runs. */
  endedAgoMs?: number;
}
