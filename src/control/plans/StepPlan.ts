import type { Step } from '../jobs/Step.js';
import type { Estimate } from '../workers/Estimate.js';
import type { Task } from './Task.js';

/** The plan for one step of an occurrence. */
export interface StepPlan {
  index: number;
  /** The step as the caller defined it. */
  definition: Step;
  tasks: Task[];
  /** Number of unfinished tasks; a gang is finished as a whole. */
  remaining: number;
  /** Newest checkpoint of any gang member; unused for other steps. */
  checkpoint: string;
  /** Gang runs in which at least one member failed. */
  failures: number;
  /** Last gang run counted in `failures`, so that each run counts once. */
  lastFailedRun: number;
  /** Monotonic time since which the step has been waiting for placement. */
  readySince: number;
  /** Whether the wait for capacity has been logged. */
  waitLogged: boolean;
  /** Estimated logarithm of actual over declared run time on a typical worker. */
  logOverrun: Estimate;
}
