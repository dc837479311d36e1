import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import type { Resources } from '../Resources.js';
import type { Worker } from '../workers/Worker.js';
import { addResources } from './addResources.js';
import { getFreeResources } from './getFreeResources.js';
import { isFitting } from './isFitting.js';
import { listVictims } from './listVictims.js';
import type { PreemptionPlan } from './PreemptionPlan.js';
import type { PreemptionRequest } from './PreemptionRequest.js';

interface PreemptionSearch extends PreemptionRequest {
  /** Tasks that this plan already preempts. */
  preemptedTasks: Set<Task>;
  /** Number of the unit's tasks that this plan assigns to each worker, by worker ID. */
  assignedCounts: Map<string, number>;
}

type WorkerChoice = Omit<PreemptionPlan, 'taskWorkers'> & { worker: Worker };

/** Resources that will be free once the stopping and the preempted runs have ended. */
const computeExpectedFree = (search: PreemptionSearch, worker: Worker): Resources => {
  const { need } = search.unit.tasks[0]!;
  const assignedCount = search.assignedCounts.get(worker.id) ?? 0;
  const free = getFreeResources(search.pass, worker);
  const freeAfterAssigned = {
    cpu: free.cpu - need.cpu * assignedCount,
    memMb: free.memMb - need.memMb * assignedCount,
    gpu: free.gpu - need.gpu * assignedCount,
  };
  return [...worker.tasks.values()]
    .filter(
      (task) =>
        task.state === 'stopping' || task.state === 'done' || search.preemptedTasks.has(task),
    )
    .reduce((sum, task) => addResources(sum, task.need), freeAfterAssigned);
};

/** Chooses the victims that make one more task fit on the worker; null if no choice does. */
const planWorkerPreemption = (search: PreemptionSearch, worker: Worker): WorkerChoice | null => {
  const { need } = search.unit.tasks[0]!;
  let free = computeExpectedFree(search, worker);
  const choice: WorkerChoice = { worker, victims: [], lostCoreMs: 0 };
  if (isFitting(need, free)) return choice;
  for (const victim of listVictims(search, worker)) {
    if (search.preemptedTasks.has(victim.task)) continue;
    choice.victims.push(victim);
    choice.lostCoreMs += victim.lostCoreMs;
    free = addResources(free, victim.task.need);
    if (isFitting(need, free)) return choice;
  }
  return null;
};

/** A gang is always stopped as a whole. */
const listStoppedTogether = (step: StepPlan, task: Task): Task[] =>
  step.definition.gang ? step.tasks : [task];

/** Workers whose choices change when these runs are stopped. */
const listAffectedIds = (choice: WorkerChoice, stopped: readonly Task[]): Set<string> =>
  new Set([choice.worker.id, ...stopped.map(({ workerId }) => workerId)]);

const findCheapest = (choices: Map<string, WorkerChoice>): WorkerChoice | null => {
  let cheapest: WorkerChoice | null = null;
  for (const choice of choices.values()) {
    if (!cheapest || choice.lostCoreMs < cheapest.lostCoreMs) cheapest = choice;
    if (cheapest.lostCoreMs === 0) break;
  }
  return cheapest;
};

/**
 * Plans a preemption that fits all tasks of a guaranteed unit onto the workers. Greedily picks the
 * worker with the least lost work for each task, and plans anew only for the workers on which that
 * changes something. Returns null if the unit does not fit even with every run outside the guarantees
 * stopped.
 */
export const planPreemption = (
  request: PreemptionRequest,
  workers: readonly Worker[],
): PreemptionPlan | null => {
  const search: PreemptionSearch = {
    ...request,
    preemptedTasks: new Set(),
    assignedCounts: new Map(),
  };
  const workersById = new Map(workers.map((worker) => [worker.id, worker]));
  const choices = new Map<string, WorkerChoice>();
  const updateChoice = (id: string): void => {
    const worker = workersById.get(id);
    const choice = worker ? planWorkerPreemption(search, worker) : null;
    if (choice) choices.set(id, choice);
    else choices.delete(id);
  };
  workersById.forEach((_worker, id) => updateChoice(id));
  const plan: PreemptionPlan = { taskWorkers: [], victims: [], lostCoreMs: 0 };
  while (plan.taskWorkers.length < request.unit.tasks.length) {
    const best = findCheapest(choices);
    if (!best) return null;
    plan.taskWorkers.push(best.worker);
    plan.victims.push(...best.victims);
    plan.lostCoreMs += best.lostCoreMs;
    search.assignedCounts.set(best.worker.id, (search.assignedCounts.get(best.worker.id) ?? 0) + 1);
    const stopped = best.victims.flatMap(({ step, task }) => listStoppedTogether(step, task));
    stopped.forEach((task) => search.preemptedTasks.add(task));
    listAffectedIds(best, stopped).forEach(updateChoice);
  }
  return plan;
};
