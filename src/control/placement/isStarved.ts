import type { Now } from '../Now.js';
import type { PlacementPass } from './PlacementPass.js';
import type { PlacementUnit } from './PlacementUnit.js';

// A task that fits must run within 3 s while most capacity is free.
const starvationTimeoutMs = 2000;

/**
 * Whether the step has waited too long although capacity is spare and no urgent job is expected. A
 * starved step may run on any worker that can run it. Long-running steps don't need these conditions,
 * because they serve users while they run.
 */
export const isStarved = (
  { hasSpareCapacity, isUrgentIdle }: PlacementPass,
  { step }: PlacementUnit,
  now: Now,
): boolean =>
  (step.definition.longRunning || (hasSpareCapacity && isUrgentIdle)) &&
  now.at - step.readySince > starvationTimeoutMs;
