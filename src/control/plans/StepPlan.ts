import type { Step } from '../jobs/Step.js';
import type { Estimate } from '../workers/Estimate.js';
import type { Task } from './Task.js';

/** One step of an occurrence. */
export interface StepPlan {
  index: number;
  step: Step;
  tasks: Task[];
  /** Tasks that are not done. */
  remaining: number;
  /** Newest checkpoint of any member; only for gangs. */
  checkpoint: string;
  /** Runs of the gang that ended with a failed member. */
  failures: number;
  /** Run whose failure was counted, so that one run counts once. */
  lastFailedRun: number;
  /** Monotonic time from which the step waits to be placed. */
  readySince: number;
  /** Its wait for room has been logged. */
  waitLogged: boolean;
  /** Logarithm of the step's run times over its declared one, on a usual worker. */
  logOverrun: Estimate;
}
