import type { RunState } from './RunState.js';
import type { PendingHold } from './PendingHold.js';

/** State of the worker. */
export interface TaskWorkerState {
  id: string;
  /** Its start in epoch milliseconds. */
  incarnation: number;
  /** Monotonic time of its start, which is the zero of its clock. */
  bootAt: number;
  /** Highest fencing token of a call so far. */
  highestToken: number;
  /** Time on its own clock at which its lease expires. */
  leaseExpiryMs: number;
  /** All runs of this incarnation, oldest first. */
  runs: RunState[];
  /** Sequence number of the last end, or 0. */
  lastEndNumber: number;
  /** Highest run number of each task that was stopped or has ended here. */
  endedRunByTask: Map<string, number>;
  pendingHolds: PendingHold[];
  /** Whether its runs end as failed. */
  failing: boolean;
}
