import type { StepPlan } from './StepPlan.js';

/** One occurrence of a job. */
export interface OccurrencePlan {
  number: number;
  /** Epoch milliseconds before which nothing of it may start, or 0. */
  dueAt: number;
  steps: StepPlan[];
  /** Steps that are not done. */
  remaining: number;
}
