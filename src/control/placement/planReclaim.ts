import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import type { Resources } from '../Resources.js';
import type { Worker } from '../workers/Worker.js';
import { addResources } from './addResources.js';
import { getFree } from './getFree.js';
import { isFitting } from './isFitting.js';
import { listVictims } from './listVictims.js';
import type { Reclaim } from './Reclaim.js';
import type { ReclaimRequest } from './ReclaimRequest.js';

interface Search extends ReclaimRequest {
  /** Runs that are already to be stopped by this plan. */
  claimed: Set<Task>;
  /** Tasks of the unit that this plan has put on each worker. */
  taken: Map<string, number>;
}

type Choice = Omit<Reclaim, 'places'> & { worker: Worker };

/** What will be free when the runs that are stopping, or are to be stopped, have ended. */
const getComing = (search: Search, worker: Worker): Resources => {
  const { need } = search.unit.tasks[0]!;
  const taken = search.taken.get(worker.id) ?? 0;
  const free = getFree(search.pass, worker);
  const begin = {
    cpu: free.cpu - need.cpu * taken,
    memMb: free.memMb - need.memMb * taken,
    gpu: free.gpu - need.gpu * taken,
  };
  return [...worker.tasks.values()]
    .filter(
      (task) => task.state === 'stopping' || task.state === 'done' || search.claimed.has(task),
    )
    .reduce((sum, task) => addResources(sum, task.need), begin);
};

const planWorker = (search: Search, worker: Worker): Choice | null => {
  const { need } = search.unit.tasks[0]!;
  let free = getComing(search, worker);
  const choice: Choice = { worker, victims: [], loss: 0 };
  if (isFitting(need, free)) return choice;
  for (const victim of listVictims(search.term, search.guaranteed, worker, search.now)) {
    if (search.claimed.has(victim.task)) continue;
    choice.victims.push(victim);
    choice.loss += victim.loss;
    free = addResources(free, victim.task.need);
    if (isFitting(need, free)) return choice;
  }
  return null;
};

const listMembers = (step: StepPlan, task: Task): Task[] => (step.step.gang ? step.tasks : [task]);

/**
 * Finds room for all tasks of a guaranteed unit among the workers, each where it costs the least
 * work. Null when there is none even if everything that borrows is stopped.
 */
export const planReclaim = (
  request: ReclaimRequest,
  workers: readonly Worker[],
): Reclaim | null => {
  const search: Search = { ...request, claimed: new Set(), taken: new Map() };
  const plan: Reclaim = { places: [], victims: [], loss: 0 };
  while (plan.places.length < request.unit.tasks.length) {
    const choices = workers
      .map((worker) => planWorker(search, worker))
      .filter((choice) => choice !== null);
    const best = choices.sort((a, b) => a.loss - b.loss)[0];
    if (!best) return null;
    plan.places.push(best.worker);
    plan.victims.push(...best.victims);
    plan.loss += best.loss;
    search.taken.set(best.worker.id, (search.taken.get(best.worker.id) ?? 0) + 1);
    best.victims.forEach(({ step, task }) =>
      listMembers(step, task).forEach((member) => search.claimed.add(member)),
    );
  }
  return plan;
};
