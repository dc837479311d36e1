import type { State } from '../State.js';
import type { WorkerLoad } from './WorkerLoad.js';

const createLoad = (workerId: string): WorkerLoad => ({
  workerId,
  grantedAttempts: new Set(),
  inheritedAttempts: new Set(),
  completedRequests: 0,
  meanMsByClass: new Map(),
  meanServiceMs: null,
  consecutiveFailures: 0,
  suspectUntil: 0,
  backoffMs: 0,
});

/** Returns a worker's load; creates the entry at the first call. */
export const getWorkerLoad = (state: State, workerId: string): WorkerLoad => {
  const knownLoad = state.routing.workerLoads.get(workerId);
  if (knownLoad) return knownLoad;
  const load = createLoad(workerId);
  state.routing.workerLoads.set(workerId, load);
  return load;
};
