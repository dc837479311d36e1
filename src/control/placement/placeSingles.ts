import type { Now } from '../Now.js';
import type { Worker } from '../workers/Worker.js';
import { choosePlaces } from './choosePlaces.js';
import { groupByRack } from './groupByRack.js';
import { isStarved } from './isStarved.js';
import type { Pass } from './Pass.js';
import type { Unit } from './Unit.js';

// Work away from its data runs several times as long: it is worth this share of that to wait.
const dataPatience = 1;

const mayLeaveData = (pass: Pass, unit: Unit, now: Now): boolean =>
  isStarved(pass, unit, now) ||
  now.at - unit.step.readySince > unit.step.step.estimateMs * dataPatience;

/** Chooses workers for as many single tasks as there is room for, near their data first. */
export const placeSingles = (
  pass: Pass,
  unit: Unit,
  workers: readonly Worker[],
  now: Now,
): Worker[] => {
  const { dataRack } = unit.step.step;
  const count = unit.tasks.length;
  if (dataRack === '') return choosePlaces(pass, unit, workers, count);
  const near = groupByRack(workers).get(dataRack) ?? [];
  const places = choosePlaces(pass, unit, near, count);
  if (places.length === count || (near.length > 0 && !mayLeaveData(pass, unit, now))) return places;
  const far = workers.filter((worker) => !near.includes(worker));
  return [...places, ...choosePlaces(pass, unit, far, count - places.length)];
};
