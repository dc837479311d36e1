import type { Now } from '../Now.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import { coresPerGpu } from './coresPerGpu.js';

// Average loss when a checkpointing task is stopped: it saves a checkpoint on stop.
const checkpointLossMs = 600;

const isActive = ({ state }: Task): boolean => state === 'starting' || state === 'running';

const computeTaskLostCoreMs = (step: StepPlan, task: Task, now: Now): number => {
  const cores = task.need.cpu / 1000 + task.need.gpu * coresPerGpu;
  const ranMs = Math.max(0, now.at - task.stateSince);
  return cores * (step.definition.checkpointing ? Math.min(checkpointLossMs, ranMs) : ranMs);
};

/** Work lost by stopping a task, in core-milliseconds; stopping a gang member stops the whole gang. */
export const computeLostCoreMs = (step: StepPlan, task: Task, now: Now): number => {
  if (!step.definition.gang) return computeTaskLostCoreMs(step, task, now);
  return step.tasks
    .filter(isActive)
    .reduce((sum, member) => sum + computeTaskLostCoreMs(step, member, now), 0);
};
