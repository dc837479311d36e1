import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';

// Two polls and some slack; even on a slow worker a run advances by one percent within this time.
const minStallMs = 4500;

const maxPercent = 100;

/**
 * Whether a run that should make progress has shown none for a tenth of its declared time, at the time
 * at which its worker sent the listing; this VM may have handled it much later. The limit doubles with each
 * restart: if a restart didn't help, the task is slow rather than its worker.
 */
export const isStalled = (step: StepPlan, task: Task, listedAt: number): boolean =>
  task.state === 'running' &&
  !step.definition.longRunning &&
  step.remaining > 0 &&
  // Reported progress is rough: a straggler shows 100 % long before it ends.
  task.percent < maxPercent &&
  listedAt - Math.max(task.stateSince, task.percentChangedAt) >
    Math.max(minStallMs, step.definition.estimateMs / 10) * 2 ** task.stalls;
