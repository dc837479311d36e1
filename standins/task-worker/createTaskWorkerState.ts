import type { TaskWorkerState } from './TaskWorkerState.js';

/** Creates a worker without runs that has seen no fencing token. */
export const createTaskWorkerState = (
  id: string,
  incarnation: number,
  bootAt: number,
): TaskWorkerState => ({
  id,
  incarnation,
  bootAt,
  highestToken: 0,
  leaseExpiryMs: 0,
  runs: [],
  lastEndNumber: 0,
  endedRunByTask: new Map(),
  pendingHolds: [],
  failing: false,
});
