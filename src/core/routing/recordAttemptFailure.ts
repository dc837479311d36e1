import type { State } from '../State.js';
import { getWorkerLoad } from './getWorkerLoad.js';
import type { Grant } from './Grant.js';

// A class that fails on this many workers counts as the cause of its failures.
const failingClassWorkers = 3;
const firstBackoffMs = 1000;
const maxBackoffMs = 30_000;

/**
 * Counts a failed attempt for its worker, unless the request's class fails on several workers and
 * is therefore the more likely cause.
 */
export const recordAttemptFailure = (state: State, grant: Grant, at: number): void => {
  const { failedWorkersByClass } = state.routing;
  const workers = failedWorkersByClass.get(grant.requestClass) ?? new Set<string>();
  workers.add(grant.workerId);
  failedWorkersByClass.set(grant.requestClass, workers);
  if (workers.size >= failingClassWorkers) return;
  const load = getWorkerLoad(state, grant.workerId);
  load.consecutiveFailures += 1;
  load.backoffMs = Math.min(
    maxBackoffMs,
    load.backoffMs === 0 ? firstBackoffMs : load.backoffMs * 2,
  );
  load.suspectUntil = at + load.backoffMs;
};
