import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import { stopGang } from '../runs/stopGang.js';
import { stopTask } from '../runs/stopTask.js';
import type { Worker } from '../workers/Worker.js';
import { addResources } from './addResources.js';
import { choosePreemption } from './choosePreemption.js';
import { coresPerGpu } from './coresPerGpu.js';
import { zeroResources } from './zeroResources.js';
import type { PreemptionPlan } from './PreemptionPlan.js';
import type { PreemptionRequest } from './PreemptionRequest.js';
import type { PlacementUnit } from './PlacementUnit.js';

// Within this time resources are often released without preemption; a guarantee allows a slightly
// longer wait.
const preemptionDelayMs = 900;
// Preempts at once if the lost work is no more than the unit's resources can do in this time.
const cheapPreemptionMs = 800;

/** Whether to preempt now rather than wait for runs to end by themselves. */
const isPreemptionWorthwhile = (unit: PlacementUnit, plan: PreemptionPlan, now: Now): boolean => {
  const { need } = unit.tasks[0]!;
  const cores = (need.cpu / 1000 + need.gpu * coresPerGpu) * unit.tasks.length;
  const ageMs = now.wall - unit.plan.submission.acceptedAt;
  return ageMs > preemptionDelayMs || plan.lostCoreMs <= cores * cheapPreemptionMs;
};

/** Preempts runs outside the guarantees until the unit fits, and reserves the freed resources for it. */
export const preemptForGuarantee = (
  request: PreemptionRequest,
  workers: readonly Worker[],
): Effect[] => {
  const { term, pass, unit, now } = request;
  const plan = choosePreemption(request, workers);
  if (!plan) {
    const fields = { requestId: unit.plan.id, tasks: unit.tasks.length, workers: workers.length };
    return [{ type: 'log', level: 'warn', code: 'guarantee_without_room', fields }];
  }
  const { need } = unit.tasks[0]!;
  if (!isPreemptionWorthwhile(unit, plan, now)) return [];
  plan.taskWorkers.forEach((worker) => {
    pass.reservedResources.set(
      worker.id,
      addResources(pass.reservedResources.get(worker.id) ?? zeroResources, need),
    );
  });
  return plan.victims.flatMap(({ task, step }) =>
    step.definition.gang
      ? stopGang(term, step, 'preempted', now)
      : stopTask(term, task, 'preempted', now),
  );
};
