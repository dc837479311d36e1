import type { Now } from '../Now.js';
import type { Worker } from '../workers/Worker.js';
import { chooseWorkers } from './chooseWorkers.js';
import { getFreeResources } from './getFreeResources.js';
import { groupByRack } from './groupByRack.js';
import { hasCapacity } from './hasCapacity.js';
import { isStarved } from './isStarved.js';
import type { PlacementPass } from './PlacementPass.js';
import type { PlacementUnit } from './PlacementUnit.js';

const countFreeGpu = (pass: PlacementPass, workers: readonly Worker[]): number =>
  workers.reduce((sum, worker) => sum + getFreeResources(pass, worker).gpu, 0);

// After this wait a guaranteed gang may span racks: a guarantee is met by starting in time, even if
// the gang then runs more slowly.
const crossRackDelayMs = 1200;

const mayCrossRacks = (pass: PlacementPass, unit: PlacementUnit, now: Now): boolean =>
  isStarved(pass, unit, now) ||
  (unit.guaranteed && now.wall - unit.plan.submission.acceptedAt > crossRackDelayMs);

/**
 * Chooses a worker for each member of a gang, in one rack if the gang fits into one: the fullest rack,
 * or for urgent jobs the rack whose slowest chosen worker is fastest. Otherwise chooses across racks,
 * unless the gang has to wait for a single rack. Returns null if the gang does not fit.
 */
export const chooseGangWorkers = (
  pass: PlacementPass,
  unit: PlacementUnit,
  workers: readonly Worker[],
  now: Now,
): Worker[] | null => {
  const count = unit.tasks.length;
  const { need } = unit.tasks[0]!;
  const openWorkers = workers.filter((worker) => hasCapacity(pass, worker, need));
  if (openWorkers.length === 0) return null;
  const rackOptions = [...groupByRack(openWorkers).values()]
    .map((rack) => ({ chosen: chooseWorkers(pass, unit, rack, count), rack }))
    .filter(({ chosen }) => chosen.length === count)
    .map(({ chosen, rack }) => ({
      chosen,
      maxLogSlowdown:
        unit.plan.priority === 0 ? Math.max(...chosen.map((worker) => worker.logSlowdown.mean)) : 0,
      freeGpu: countFreeGpu(pass, rack),
    }))
    .sort((a, b) => a.maxLogSlowdown - b.maxLogSlowdown || a.freeGpu - b.freeGpu);
  if (rackOptions[0]) return rackOptions[0].chosen;
  if (unit.step.definition.sameRack && !mayCrossRacks(pass, unit, now)) return null;
  const chosen = chooseWorkers(pass, unit, openWorkers, count);
  return chosen.length === count ? chosen : null;
};
