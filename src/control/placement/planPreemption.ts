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
  /** Runs that are already to be stopped by this plan. */
  claimedTasks: Set<Task>;
  /** Tasks of the unit that this plan has put on each worker. */
  assignedTasks: Map<string, number>;
}

type WorkerChoice = Omit<PreemptionPlan, 'places'> & { worker: Worker };

/** What will be free when the runs that are stopping, or are to be stopped, have ended. */
const computeExpectedFree = (search: PreemptionSearch, worker: Worker): Resources => {
  const { need } = search.unit.tasks[0]!;
  const assignedTasks = search.assignedTasks.get(worker.id) ?? 0;
  const free = getFreeResources(search.pass, worker);
  const unassigned = {
    cpu: free.cpu - need.cpu * assignedTasks,
    memMb: free.memMb - need.memMb * assignedTasks,
    gpu: free.gpu - need.gpu * assignedTasks,
  };
  return [...worker.tasks.values()]
    .filter(
      (task) => task.state === 'stopping' || task.state === 'done' || search.claimedTasks.has(task),
    )
    .reduce((sum, task) => addResources(sum, task.need), unassigned);
};

const planWorkerPreemption = (search: PreemptionSearch, worker: Worker): WorkerChoice | null => {
  const { need } = search.unit.tasks[0]!;
  let free = computeExpectedFree(search, worker);
  const choice: WorkerChoice = { worker, victims: [], lostCoreMs: 0 };
  if (isFitting(need, free)) return choice;
  for (const victim of listVictims(search.term, search.guaranteedJobIds, worker, search.now)) {
    if (search.claimedTasks.has(victim.task)) continue;
    choice.victims.push(victim);
    choice.lostCoreMs += victim.lostCoreMs;
    free = addResources(free, victim.task.need);
    if (isFitting(need, free)) return choice;
  }
  return null;
};

const listStoppedTogether = (step: StepPlan, task: Task): Task[] =>
  step.step.gang ? step.tasks : [task];

/**
 * Finds room for all tasks of a guaranteed unit among the workers, each where it costs the least
 * work. Null when there is none even if everything that borrows is stopped.
 */
export const planPreemption = (
  request: PreemptionRequest,
  workers: readonly Worker[],
): PreemptionPlan | null => {
  const search: PreemptionSearch = {
    ...request,
    claimedTasks: new Set(),
    assignedTasks: new Map(),
  };
  const plan: PreemptionPlan = { places: [], victims: [], lostCoreMs: 0 };
  while (plan.places.length < request.unit.tasks.length) {
    const choices = workers
      .map((worker) => planWorkerPreemption(search, worker))
      .filter((choice) => choice !== null);
    const best = choices.sort((a, b) => a.lostCoreMs - b.lostCoreMs)[0];
    if (!best) return null;
    plan.places.push(best.worker);
    plan.victims.push(...best.victims);
    plan.lostCoreMs += best.lostCoreMs;
    search.assignedTasks.set(best.worker.id, (search.assignedTasks.get(best.worker.id) ?? 0) + 1);
    best.victims.forEach(({ step, task }) =>
      listStoppedTogether(step, task).forEach((member) => search.claimedTasks.add(member)),
    );
  }
  return plan;
};
