import { traceStep } from './traceStep.js';
import type { World } from './World.js';

/** Notes that two schedulers hold the same worker, or lead the same zone. */
export const noteOverlap = (
  world: World,
  what: 'worker' | 'lead',
  id: string,
  holders: string[],
): void => {
  world.history.overlaps.push({ at: world.now, what, id, holders });
  traceStep(world, 'oracle', `two holders of ${what} ${id}: ${holders.join(', ')}`);
};
