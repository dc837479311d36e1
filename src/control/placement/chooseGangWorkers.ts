import type { Now } from '../Now.js';
import type { Worker } from '../workers/Worker.js';
import { chooseWorkers } from './chooseWorkers.js';
import { getFreeResources } from './getFreeResources.js';
import { groupByRack } from './groupByRack.js';
import { isStarved } from './isStarved.js';
import type { PlacementPass } from './PlacementPass.js';
import type { PlacementUnit } from './PlacementUnit.js';

const countFreeGpu = (pass: PlacementPass, workers: readonly Worker[]): number =>
  workers.reduce((sum, worker) => sum + getFreeResources(pass, worker).gpu, 0);

// A guarantee counts from the start of the work, so a slow start is better than a late one.
const crossRackDelayMs = 1200;

const mayCrossRacks = (pass: PlacementPass, unit: PlacementUnit, now: Now): boolean =>
  isStarved(pass, unit, now) ||
  (unit.guaranteed && now.wall - unit.plan.submission.acceptedAt > crossRackDelayMs);

/**
 * Chooses a worker for each member of a gang: in one rack if one has room, the fullest first,
 * for urgent work the one whose slowest member is fastest;
 * otherwise anywhere, unless the gang is slow on several racks. Null when there is no room.
 */
export const chooseGangWorkers = (
  pass: PlacementPass,
  unit: PlacementUnit,
  workers: readonly Worker[],
  now: Now,
): Worker[] | null => {
  const count = unit.tasks.length;
  const rackOptions = [...groupByRack(workers).values()]
    .map((rack) => ({ places: chooseWorkers(pass, unit, rack, count), rack }))
    .filter(({ places }) => places.length === count)
    .map(({ places, rack }) => ({
      places,
      slowness:
        unit.plan.priority === 0 ? Math.max(...places.map((worker) => worker.logSlowdown.mean)) : 0,
      left: countFreeGpu(pass, rack),
    }))
    .sort((a, b) => a.slowness - b.slowness || a.left - b.left);
  if (rackOptions[0]) return rackOptions[0].places;
  if (unit.step.step.sameRack && !mayCrossRacks(pass, unit, now)) return null;
  const places = chooseWorkers(pass, unit, workers, count);
  return places.length === count ? places : null;
};
