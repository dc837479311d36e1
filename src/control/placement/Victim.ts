import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';

/** A run that may be preempted for a guarantee. */
export interface Victim {
  task: Task;
  step: StepPlan;
  /** Work lost by stopping the task, in core-milliseconds. */
  lostCoreMs: number;
}
