import type { JobPlan } from '../plans/JobPlan.js';
import type { OccurrencePlan } from '../plans/OccurrencePlan.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';

/** Waiting tasks of one step that are ready to start. A gang is placed as a whole or not at all. */
export interface PlacementUnit {
  plan: JobPlan;
  occurrence: OccurrencePlan;
  step: StepPlan;
  tasks: Task[];
  /** Whether the job is covered by its workspace's guarantee and may preempt others. */
  guaranteed: boolean;
  /** Time until the unit must start to meet its objective; negative if it will be late. */
  slackMs: number;
  /** Scheduling order; lower ranks are placed first. */
  rank: number;
}
