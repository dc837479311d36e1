import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { findTask } from '../plans/findTask.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import type { Worker } from '../workers/Worker.js';
import { computeLoss } from './computeLoss.js';

interface Victim {
  task: Task;
  step: StepPlan;
  /** Core-milliseconds that are thrown away. */
  loss: number;
}

/** Loss per accelerator that becomes free. */
const computeDensity = ({ task, loss }: Victim): number => loss / Math.max(1, task.need.gpu);

/** Lists the runs of a worker that may be stopped for a guarantee, the cheapest first. */
export const listVictims = (
  term: Term,
  guaranteed: Set<string>,
  worker: Worker,
  now: Now,
): Victim[] =>
  [...worker.tasks.values()]
    .filter(
      ({ state, jobId }) => state !== 'done' && state !== 'stopping' && !guaranteed.has(jobId),
    )
    .flatMap((task): Victim[] => {
      const place = findTask(term, task.name);
      if (!place) return [];
      const loss = computeLoss(place.step, task, now);
      return [{ task, step: place.step, loss }];
    })
    .sort((a, b) => computeDensity(a) - computeDensity(b));
