import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { findTask } from '../plans/findTask.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import type { Worker } from '../workers/Worker.js';
import { computeLostCoreMs } from './computeLostCoreMs.js';

interface Victim {
  task: Task;
  step: StepPlan;
  /** Work lost by stopping the task, in core-milliseconds. */
  lostCoreMs: number;
}

/** Lost work per accelerator freed. */
const computeLossPerGpu = ({ task, lostCoreMs }: Victim): number =>
  lostCoreMs / Math.max(1, task.need.gpu);

/** Lists the runs of a worker that may be preempted for a guarantee, cheapest first. */
export const listVictims = (
  term: Term,
  guaranteedJobIds: Set<string>,
  worker: Worker,
  now: Now,
): Victim[] =>
  [...worker.tasks.values()]
    .filter(
      ({ state, jobId }) =>
        state !== 'done' && state !== 'stopping' && !guaranteedJobIds.has(jobId),
    )
    .flatMap((task): Victim[] => {
      const location = findTask(term, task.name);
      if (!location) return [];
      const lostCoreMs = computeLostCoreMs(location.step, task, now);
      return [{ task, step: location.step, lostCoreMs }];
    })
    .sort((a, b) => computeLossPerGpu(a) - computeLossPerGpu(b));
