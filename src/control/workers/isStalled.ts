import type { Now } from '../Now.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';

// Two looks and some slack: even a slow worker's run moves on by a hundredth in this time.
const minStallMs = 4500;

const maxPercent = 100;

/** Whether a run that should move on has shown no progress for long. */
export const isStalled = (step: StepPlan, task: Task, now: Now): boolean =>
  task.state === 'running' &&
  !step.step.longRunning &&
  step.remaining > 0 &&
  // The figure is rough: a straggler shows it full long before its end.
  task.percent < maxPercent &&
  now.at - Math.max(task.stateSince, task.percentChangedAt) >
    Math.max(minStallMs, step.step.estimateMs / 10);
