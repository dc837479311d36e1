import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import type { Resources } from '../Resources.js';
import type { Worker } from '../workers/Worker.js';
import { addResources } from './addResources.js';
import { getFree } from './getFree.js';
import { isFitting } from './isFitting.js';
import { listVictims } from './listVictims.js';
import type { Pass } from './Pass.js';
import type { Unit } from './Unit.js';

interface Reclaim {
  worker: Worker;
  victims: { task: Task; step: StepPlan }[];
  loss: number;
}

/** What will be free when the runs that are stopping have ended. */
const getComing = (pass: Pass, worker: Worker): Resources =>
  [...worker.tasks.values()]
    .filter(({ state }) => state === 'stopping' || state === 'done')
    .reduce((sum, { need }) => addResources(sum, need), getFree(pass, worker));

const planWorker = (
  term: Term,
  pass: Pass,
  unit: Unit,
  guaranteed: Set<string>,
  worker: Worker,
  now: Now,
): Reclaim | null => {
  const { need } = unit.tasks[0]!;
  let free = getComing(pass, worker);
  const plan: Reclaim = { worker, victims: [], loss: 0 };
  if (isFitting(need, free)) return plan;
  for (const victim of listVictims(term, guaranteed, worker, now)) {
    plan.victims.push(victim);
    plan.loss += victim.lossPerGpu * Math.max(1, victim.task.need.gpu);
    free = addResources(free, victim.task.need);
    if (isFitting(need, free)) return plan;
  }
  return null;
};

/** Finds the worker at which room for one guaranteed task costs the least work; null if none. */
export const planReclaim = (
  term: Term,
  pass: Pass,
  unit: Unit,
  guaranteed: Set<string>,
  workers: readonly Worker[],
  now: Now,
): Reclaim | null =>
  workers
    .map((worker) => planWorker(term, pass, unit, guaranteed, worker, now))
    .filter((plan) => plan !== null)
    .sort((a, b) => a.loss - b.loss)[0] ?? null;
