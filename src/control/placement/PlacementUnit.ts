import type { JobPlan } from '../plans/JobPlan.js';
import type { OccurrencePlan } from '../plans/OccurrencePlan.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';

/** Tasks of one step that can start now; those of a gang only together. */
export interface PlacementUnit {
  plan: JobPlan;
  occurrence: OccurrencePlan;
  step: StepPlan;
  tasks: Task[];
  /** Belongs to its workspace's guarantee, so that others make room for it. */
  guaranteed: boolean;
  /** Time that is left until it has to start; negative when it will be late. */
  slackMs: number;
  /** Rank by what it is worth to start it now; lower goes first. */
  rank: number;
}
