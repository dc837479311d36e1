import type { Now } from '../Now.js';
import type { Pass } from './Pass.js';
import type { Unit } from './Unit.js';

const longestWaitMs = 2000;

/**
 * Whether work waits although there is room, and no urgent work is to be expected there; it then gets
 * any place that it can run in. Work that lasts does so at any time.
 */
export const isStarved = ({ isRoomy, isQuiet }: Pass, { step }: Unit, now: Now): boolean =>
  isRoomy && (isQuiet || step.step.longRunning) && now.at - step.readySince > longestWaitMs;
