import type { Now } from '../Now.js';
import type { Worker } from '../workers/Worker.js';
import { choosePlaces } from './choosePlaces.js';
import { getFree } from './getFree.js';
import { groupByRack } from './groupByRack.js';
import { isStarved } from './isStarved.js';
import type { Pass } from './Pass.js';
import type { Unit } from './Unit.js';

const countFreeGpu = (pass: Pass, workers: readonly Worker[]): number =>
  workers.reduce((sum, worker) => sum + getFree(pass, worker).gpu, 0);

// A guarantee counts from the start of the work, so a slow start is better than a late one.
const rackPatienceMs = 1200;

const mayCrossRacks = (pass: Pass, unit: Unit, now: Now): boolean =>
  isStarved(pass, unit, now) ||
  (unit.guaranteed && now.wall - unit.plan.submission.acceptedAt > rackPatienceMs);

/**
 * Chooses a worker for each member of a gang: in one rack if one has room, the fullest first,
 * for urgent work the one whose slowest member is fastest;
 * otherwise anywhere, unless the gang is slow on several racks. Null when there is no room.
 */
export const placeGang = (
  pass: Pass,
  unit: Unit,
  workers: readonly Worker[],
  now: Now,
): Worker[] | null => {
  const count = unit.tasks.length;
  const inRacks = [...groupByRack(workers).values()]
    .map((rack) => ({ places: choosePlaces(pass, unit, rack, count), rack }))
    .filter(({ places }) => places.length === count)
    .map(({ places, rack }) => ({
      places,
      slowness:
        unit.plan.priority === 0 ? Math.max(...places.map((place) => place.slowness.mean)) : 0,
      left: countFreeGpu(pass, rack),
    }))
    .sort((a, b) => a.slowness - b.slowness || a.left - b.left);
  if (inRacks[0]) return inRacks[0].places;
  if (unit.step.step.sameRack && !mayCrossRacks(pass, unit, now)) return null;
  const places = choosePlaces(pass, unit, workers, count);
  return places.length === count ? places : null;
};
