import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';

/** How fast a run moved on between two looks. */
export interface PaceSample {
  /** Queue of the run's job. */
  queue: string;
  step: StepPlan;
  task: Task;
  /** Logarithm of the time that the progress took over the declared time for it. */
  pace: number;
}
