import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';

/** The pace of a run between two listings. */
export interface PaceSample {
  /** Queue name of the run's job. */
  queue: string;
  step: StepPlan;
  task: Task;
  /** Logarithm of actual over declared run time for the progress made; higher is slower. */
  logPace: number;
}
