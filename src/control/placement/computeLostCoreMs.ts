import type { Now } from '../Now.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import { coresPerGpu } from './coresPerGpu.js';

// Work that saves its state loses this much on average when it is stopped: it saves at a stop.
const checkpointLossMs = 600;

const isActive = ({ state }: Task): boolean => state === 'starting' || state === 'running';

const computeTaskLostCoreMs = (step: StepPlan, task: Task, now: Now): number => {
  const cores = task.need.cpu / 1000 + task.need.gpu * coresPerGpu;
  const ranMs = Math.max(0, now.at - task.stateSince);
  return cores * (step.step.checkpointing ? Math.min(checkpointLossMs, ranMs) : ranMs);
};

/** Core-milliseconds that are thrown away when a task is stopped, with its gang if it has one. */
export const computeLostCoreMs = (step: StepPlan, task: Task, now: Now): number => {
  if (!step.step.gang) return computeTaskLostCoreMs(step, task, now);
  return step.tasks
    .filter(isActive)
    .reduce((sum, member) => sum + computeTaskLostCoreMs(step, member, now), 0);
};
