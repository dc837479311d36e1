import type { JobPlan } from './JobPlan.js';
import type { OccurrencePlan } from './OccurrencePlan.js';
import type { StepPlan } from './StepPlan.js';
import type { Task } from './Task.js';

/** A task with the plans that contain it. */
export interface TaskLocation {
  plan: JobPlan;
  occurrence: OccurrencePlan;
  step: StepPlan;
  task: Task;
}
