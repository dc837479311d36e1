import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { placeTask } from '../workers/placeTask.js';
import type { Worker } from '../workers/Worker.js';
import type { Pass } from './Pass.js';
import type { Unit } from './Unit.js';

/** Reserves the chosen workers for the first tasks of the unit; the starts are sent when written. */
export const reserveStart = (
  term: Term,
  pass: Pass,
  unit: Unit,
  places: readonly Worker[],
  now: Now,
): void => {
  if (places.length === 0) return;
  // Members of a gang share the number of their run.
  const gangRun = Math.max(...unit.tasks.map(({ run }) => run)) + 1;
  places.forEach((worker, index) => {
    const task = unit.tasks[index]!;
    task.run = unit.step.step.gang ? gangRun : task.run + 1;
    task.state = 'recording';
    task.since = now.at;
    task.startedAt = now.at;
    task.seenAt = null;
    task.confirmedAt = Number.POSITIVE_INFINITY;
    task.percent = 0;
    pass.usedGpu += task.need.gpu;
    placeTask(worker, task);
  });
  unit.tasks.splice(0, places.length);
  if (unit.plan.state === 'queued') {
    unit.plan.state = 'running';
    term.unpublished.add(unit.plan.id);
  }
  term.dirty.add(unit.plan.id);
};
