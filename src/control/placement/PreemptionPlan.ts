import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import type { Worker } from '../workers/Worker.js';

/** Room for the tasks of a guaranteed unit, and what has to stop for it. */
export interface PreemptionPlan {
  /** A worker for each task. */
  places: Worker[];
  victims: { task: Task; step: StepPlan }[];
  /** Core-milliseconds that are thrown away. */
  lostCoreMs: number;
}
