import { isWorkerHeld } from '../ownership/isWorkerHeld.js';
import type { State } from '../State.js';
import { countFreeSlots } from './countFreeSlots.js';
import { estimateServiceMs } from './estimateServiceMs.js';
import { getWorkerLoad } from './getWorkerLoad.js';
import { isWorkerLeaving } from './isWorkerLeaving.js';
import type { WaitingRequest } from './WaitingRequest.js';

// Consecutive failures after which a worker is suspected of being faulty.
const suspectAfterFailures = 5;

const isUsable = (state: State, workerId: string, at: number): boolean => {
  if (!isWorkerHeld(state, workerId, at) || isWorkerLeaving(state, workerId)) return false;
  const load = getWorkerLoad(state, workerId);
  if (load.consecutiveFailures < suspectAfterFailures) return true;
  // After its backoff, a worker with many failures gets one probe request at a time.
  return at >= load.suspectUntil && load.grantedAttempts.size === 0;
};

// A class is tried on workers where it has not failed yet, which tells a failing class from a
// failing worker.
const isAvoided = (state: State, request: WaitingRequest, workerId: string): boolean =>
  request.avoid.includes(workerId) ||
  (state.routing.failedWorkersByClass.get(request.requestClass)?.has(workerId) ?? false);

/**
 * Chooses the worker with a free slot and the lowest estimated service time; avoided workers come
 * last. Ties go to the fewest running, then the fewest completed requests. O(workers of the zone).
 */
export const chooseWorker = (state: State, request: WaitingRequest, at: number): string | null => {
  let best: { workerId: string; score: number[] } | null = null;
  state.ownership.leases.forEach((_lease, workerId) => {
    if (!isUsable(state, workerId, at) || countFreeSlots(state, workerId) <= 0) return;
    const load = getWorkerLoad(state, workerId);
    const score = [
      isAvoided(state, request, workerId) ? 1 : 0,
      estimateServiceMs(state, workerId, request.requestClass),
      load.grantedAttempts.size,
      load.completedRequests,
    ];
    const current = best;
    const difference = current
      ? score.map((value, index) => value - current.score[index]!).find((value) => value !== 0)
      : -1;
    if (difference !== undefined && difference < 0) best = { workerId, score };
  });
  return (best as { workerId: string } | null)?.workerId ?? null;
};
