import { isWorkerHeld } from '../ownership/isWorkerHeld.js';
import type { State } from '../State.js';
import { countFreeSlots } from './countFreeSlots.js';
import { getWorkerLoad } from './getWorkerLoad.js';
import { isWorkerLeaving } from './isWorkerLeaving.js';

// Share of the slots reserved for short classes. At peak load, 1/8 reduced the response times of
// short requests to 0.7 and raised those of long ones to 1.08; 1/16 gave 0.9 and 1.02
// (docs/measurements.md, round 2).
const reservedSlotShare = 1 / 8;
// A class counts as long if its mean exceeds that of the shortest recent class by this factor.
const maxServiceTimeRatio = 8;
// Slots are reserved only for classes that got a slot within this time.
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
 * Computes the longest mean service time of a class that may get a slot now. The last free slots of
 * the zone are reserved for short classes, because a long request can't be interrupted for them.
 * O(workers + classes).
 */
export const computeClassLimitMs = (state: State, at: number): number => {
  const { free, total } = countSlots(state, at);
  if (free > total * reservedSlotShare) return Infinity;
  const { meanMsByClass, lastGrantAtByClass } = state.routing;
  const recentClasses = [...meanMsByClass].filter(
    ([requestClass]) => at - (lastGrantAtByClass.get(requestClass) ?? -Infinity) < recentClassMs,
  );
  return maxServiceTimeRatio * Math.min(...recentClasses.map(([, meanMs]) => meanMs));
};
