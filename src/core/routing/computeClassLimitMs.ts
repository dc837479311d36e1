import { isWorkerHeld } from '../ownership/isWorkerHeld.js';
import type { State } from '../State.js';
import { countFreeSlots } from './countFreeSlots.js';
import { getWorkerLoad } from './getWorkerLoad.js';
import { isWorkerLeaving } from './isWorkerLeaving.js';

// With 1/8 of the slots kept for short classes, short requests at the peak took 0.7 of the time and
// long ones 1.08 of it; with 1/16, 0.9 and 1.02 (docs/measurements.md, round 2).
const reservedSlotShare = 1 / 8;
const maxServiceTimeRatio = 8;
// Without short requests for this long, no slot is kept for them.
const recentClassMs = 10_000;

const countSlots = (state: State, at: number): { free: number; total: number } => {
  const counts = { free: 0, total: 0 };
  state.ownership.leases.forEach((_lease, workerId) => {
    if (!isWorkerHeld(state, workerId, at) || isWorkerLeaving(state, workerId)) return;
    const free = Math.max(0, countFreeSlots(state, workerId));
    counts.free += free;
    counts.total += free + getWorkerLoad(state, workerId).grantedAttempts.size;
  });
  return counts;
};

/**
 * Computes the longest mean service time of a class that may take a slot now. The last free slots
 * of the zone are kept for short classes, because a long request cannot be interrupted for them.
 * O(workers + classes).
 */
export const computeClassLimitMs = (state: State, at: number): number => {
  const { free, total } = countSlots(state, at);
  if (free > total * reservedSlotShare) return Infinity;
  const { meanMsByClass, lastTurnAtByClass } = state.routing;
  const recentClasses = [...meanMsByClass].filter(
    ([requestClass]) => at - (lastTurnAtByClass.get(requestClass) ?? -Infinity) < recentClassMs,
  );
  return maxServiceTimeRatio * Math.min(...recentClasses.map(([, meanMs]) => meanMs));
};
