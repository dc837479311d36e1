import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import type { Worker } from '../workers/Worker.js';

/** The workers chosen for a guaranteed unit, and the runs to preempt for it. */
export interface PreemptionPlan {
  /** One worker for each task of the unit. */
  taskWorkers: Worker[];
  victims: { task: Task; step: StepPlan }[];
  /** Work lost by stopping the victims, in core-milliseconds. */
  lostCoreMs: number;
}
