import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { StopReason } from '../plans/StopReason.js';
import { stopTask } from './stopTask.js';

/** Stops all members of a gang that are running or about to start. */
export const stopGang = (term: Term, step: StepPlan, reason: StopReason, now: Now): Effect[] =>
  step.tasks.flatMap((task) => stopTask(term, task, reason, now));
