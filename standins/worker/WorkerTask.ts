import type { TaskReport } from '../../src/core/ownership/TaskReport.js';
import type { TaskPayload } from './TaskPayload.js';

/** A task on the worker, with what its report shows. */
export interface WorkerTask extends TaskReport {
  payload: TaskPayload;
  /** Work left, in milliseconds at speed 1. */
  remainingMs: number;
  /** Share of the speed that a throttle call has left to the task. */
  speedShare: number;
  leaseUntil: number;
  /** Null before the start. */
  startedWall: number | null;
  /** Monotonic time of the end, or null. */
  endedAt: number | null;
  /** Whether a renewal has returned the task's end. */
  endReported: boolean;
  checkpointUntil: number;
  /** Checkpoint calls that wait for their answer. */
  checkpointWaiters: string[];
}
