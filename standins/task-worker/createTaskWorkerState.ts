import type { TaskWorkerState } from './TaskWorkerState.js';

/** Creates a worker that runs nothing and has seen no token. */
export const createTaskWorkerState = (
  id: string,
  born: number,
  bootAt: number,
): TaskWorkerState => ({
  id,
  born,
  bootAt,
  highestToken: 0,
  leaseExpiryMs: 0,
  runs: [],
  lastEndNumber: 0,
  endedRunByTask: new Map(),
  pendingHolds: [],
  failing: false,
});
