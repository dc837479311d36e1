import type { Worker } from '../workers/Worker.js';
import type { PlacementUnit } from './PlacementUnit.js';

/** Counts the tasks of the unit's step that are assigned to a worker. */
export const countStepTasks = (unit: PlacementUnit, worker: Worker): number => {
  const prefix = `${unit.plan.id}.${unit.occurrence.number}.${unit.step.index}.`;
  let count = 0;
  worker.tasks.forEach(({ name }) => {
    if (name.startsWith(prefix)) count += 1;
  });
  return count;
};
