import type { StepPlan } from './StepPlan.js';

/** The plan for one occurrence of a job; a job without a schedule has a single one. */
export interface OccurrencePlan {
  number: number;
  /** Epoch milliseconds before which no task may start, or 0. */
  dueAt: number;
  steps: StepPlan[];
  /** Number of unfinished steps. */
  remaining: number;
}
