import type { RunState } from './RunState.js';
import type { PendingHold } from './PendingHold.js';

/** State of the worker. */
export interface TaskWorkerState {
  id: string;
  /** Epoch milliseconds of its start. */
  born: number;
  /** Monotonic time of its start; its clock counts from there. */
  bootAt: number;
  highestToken: number;
  leaseExpiryMs: number;
  /** All runs of this life, the oldest first. */
  runs: RunState[];
  lastEndNumber: number;
  /** Highest run of each task that was stopped or has ended here. */
  endedRunByTask: Map<string, number>;
  pendingHolds: PendingHold[];
  /** All that runs ends as failed. */
  failing: boolean;
}
