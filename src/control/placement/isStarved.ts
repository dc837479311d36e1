import type { Now } from '../Now.js';
import type { Pass } from './Pass.js';
import type { Unit } from './Unit.js';

// Work that fits somewhere has to run within three seconds where most room is free.
const longestWaitMs = 2000;

/**
 * Whether work waits although there is room, and no urgent work is to be expected there; it then gets
 * any place that it can run in. Work that lasts gets one at any time, since it serves users meanwhile.
 */
export const isStarved = ({ isRoomy, isQuiet }: Pass, { step }: Unit, now: Now): boolean =>
  (step.step.longRunning || (isRoomy && isQuiet)) && now.at - step.readySince > longestWaitMs;
