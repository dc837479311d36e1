import { findTask } from '../plans/findTask.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import type { Worker } from '../workers/Worker.js';
import { computeLostCoreMs } from './computeLostCoreMs.js';
import type { PreemptionRequest } from './PreemptionRequest.js';
import type { Victim } from './Victim.js';

/** Lost work per accelerator freed. */
const computeLossPerGpu = ({ task, lostCoreMs }: Victim): number =>
  lostCoreMs / Math.max(1, task.need.gpu);

/** Work lost with a task; computed once per pass for a gang, whose members are stopped together. */
const getLostCoreMs = ({ pass, now }: PreemptionRequest, step: StepPlan, task: Task): number => {
  if (!step.definition.gang) return computeLostCoreMs(step, task, now);
  const known = pass.gangLossCoreMs.get(step);
  if (known !== undefined) return known;
  const lostCoreMs = computeLostCoreMs(step, task, now);
  pass.gangLossCoreMs.set(step, lostCoreMs);
  return lostCoreMs;
};

const buildVictims = (request: PreemptionRequest, worker: Worker): Victim[] => {
  const victims: Victim[] = [];
  worker.tasks.forEach((task) => {
    if (task.state === 'done' || request.guaranteedJobIds.has(task.jobId)) return;
    const location = findTask(request.term, task);
    if (!location) return;
    const lostCoreMs = getLostCoreMs(request, location.step, task);
    victims.push({ task, step: location.step, lostCoreMs });
  });
  return victims.sort((a, b) => computeLossPerGpu(a) - computeLossPerGpu(b));
};

/**
 * Lists the runs of a worker that may be preempted for a guarantee, cheapest first; built once per pass,
 * because every guaranteed unit that does not fit asks for them.
 */
export const listVictims = (request: PreemptionRequest, worker: Worker): Victim[] => {
  const { victimsByWorkerId } = request.pass;
  let victims = victimsByWorkerId.get(worker.id);
  if (!victims) {
    victims = buildVictims(request, worker);
    victimsByWorkerId.set(worker.id, victims);
  }
  // A unit before this one may have stopped some of them.
  return victims.filter(({ task }) => task.state !== 'stopping');
};
