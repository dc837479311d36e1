import type { TaskReport } from '../../src/core/ownership/TaskReport.js';
import type { TaskPayload } from './TaskPayload.js';

/** A task on the worker, including the fields of its report. */
export interface WorkerTask extends TaskReport {
  payload: TaskPayload;
  /** Work left, in milliseconds at speed 1. */
  remainingMs: number;
  /** Share of the full speed at which the task runs; set by throttle calls. */
  speedShare: number;
  /** Monotonic time at which its lease expires. */
  leaseUntil: number;
  /** Epoch milliseconds of the start, or null before it. */
  startedWall: number | null;
  /** Monotonic time of the end, or null. */
  endedAt: number | null;
  /** Whether the answer to a lease renewal has reported the task's end. */
  endReported: boolean;
  /** Monotonic time at which its latest checkpoint is complete, or 0. */
  checkpointUntil: number;
  /** Checkpoint calls that wait for their answer. */
  checkpointWaiters: string[];
}
