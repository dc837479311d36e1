import type { PartState } from '../jobs/PartState.js';

/** One task as its worker reports it; complete enough to adopt the task. */
export interface TaskReport {
  taskId: string;
  jobId: string;
  workspace: string;
  attempt: number;
  index: number;
  /** Number of parts of the whole gang. */
  parts: number;
  accelerators: number;
  state: PartState;
  checkpoint?: string;
  /** Milliseconds that the task has run, by the worker's own clock. */
  ranMs: number;
  /** Milliseconds since the task's end, by the worker's own clock; absent while it is alive. */
  endedAgoMs?: number;
}
