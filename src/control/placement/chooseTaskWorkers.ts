import type { Now } from '../Now.js';
import type { Worker } from '../workers/Worker.js';
import { chooseWorkers } from './chooseWorkers.js';
import { groupByRack } from './groupByRack.js';
import { isStarved } from './isStarved.js';
import type { PlacementPass } from './PlacementPass.js';
import type { PlacementUnit } from './PlacementUnit.js';

// Remote tasks run several times as long, so waiting for the data rack pays off for this multiple of
// the declared run time.
const dataWaitFactor = 1;

const mayIgnoreDataRack = (pass: PlacementPass, unit: PlacementUnit, now: Now): boolean =>
  isStarved(pass, unit, now) ||
  now.at - unit.step.readySince > unit.step.definition.estimateMs * dataWaitFactor;

/** Chooses workers for as many independent tasks as fit, in the rack of their data first. */
export const chooseTaskWorkers = (
  pass: PlacementPass,
  unit: PlacementUnit,
  workers: readonly Worker[],
  now: Now,
): Worker[] => {
  const { dataRack } = unit.step.definition;
  const count = unit.tasks.length;
  if (dataRack === '') return chooseWorkers(pass, unit, workers, count);
  const localWorkers = groupByRack(workers).get(dataRack) ?? [];
  const chosen = chooseWorkers(pass, unit, localWorkers, count);
  if (chosen.length === count || (localWorkers.length > 0 && !mayIgnoreDataRack(pass, unit, now)))
    return chosen;
  const remoteWorkers = workers.filter((worker) => !localWorkers.includes(worker));
  return [...chosen, ...chooseWorkers(pass, unit, remoteWorkers, count - chosen.length)];
};
