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
  token: 0,
  leaseUntil: 0,
  runs: [],
  lastEnd: 0,
  over: new Map(),
  holds: [],
  failing: false,
});
