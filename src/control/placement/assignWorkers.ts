import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { markUnwritten } from '../plans/markUnwritten.js';
import { reserveResources } from '../workers/reserveResources.js';
import type { Worker } from '../workers/Worker.js';
import type { PlacementPass } from './PlacementPass.js';
import type { PlacementUnit } from './PlacementUnit.js';

/** Assigns the chosen workers to the unit's first tasks. Their starts are sent once they are persisted. */
export const assignWorkers = (
  term: Term,
  pass: PlacementPass,
  unit: PlacementUnit,
  workers: readonly Worker[],
  now: Now,
): void => {
  if (workers.length === 0) return;
  // All members of a gang use the same run number.
  const gangRun = Math.max(...unit.tasks.map(({ run }) => run)) + 1;
  workers.forEach((worker, index) => {
    const task = unit.tasks[index]!;
    task.run = unit.step.definition.gang ? gangRun : task.run + 1;
    task.state = 'recording';
    task.stateSince = now.at;
    task.startedAt = now.at;
    task.observedRunningAt = null;
    task.confirmedAt = Number.POSITIVE_INFINITY;
    task.percent = 0;
    pass.usedGpu += task.need.gpu;
    reserveResources(worker, task);
  });
  markUnwritten(term, unit.plan.id, unit.tasks.splice(0, workers.length));
};
