import type { RunState } from './RunState.js';
import type { WorkerHold } from './WorkerHold.js';

/** State of the worker. */
export interface TaskWorkerState {
  id: string;
  /** Epoch milliseconds of its start. */
  born: number;
  /** Monotonic time of its start; its clock counts from there. */
  bootAt: number;
  token: number;
  leaseUntil: number;
  /** All runs of this life, the oldest first. */
  runs: RunState[];
  lastEnd: number;
  /** Highest run of each task that was stopped or has ended here. */
  over: Map<string, number>;
  holds: WorkerHold[];
  /** All that runs ends as failed. */
  failing: boolean;
}
