import type { Now } from '../Now.js';
import type { PlacementPass } from './PlacementPass.js';
import type { PlacementUnit } from './PlacementUnit.js';

// Work that fits somewhere has to run within three seconds where most room is free.
const starvationTimeoutMs = 2000;

/**
 * Whether work waits although there is room, and no urgent work is to be expected there; it then gets
 * any place that it can run in. Work that lasts gets one at any time, since it serves users meanwhile.
 */
export const isStarved = (
  { isRoomy, isUrgentIdle: isQuiet }: PlacementPass,
  { step }: PlacementUnit,
  now: Now,
): boolean =>
  (step.step.longRunning || (isRoomy && isQuiet)) && now.at - step.readySince > starvationTimeoutMs;
