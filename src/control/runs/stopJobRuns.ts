import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { JobPlan } from '../plans/JobPlan.js';
import type { StopReason } from '../plans/StopReason.js';
import { stopTask } from './stopTask.js';

/** Stops every run of a job. */
export const stopJobRuns = (term: Term, plan: JobPlan, reason: StopReason, now: Now): Effect[] =>
  [...term.workers.values()].flatMap((worker) =>
    [...worker.tasks.values()]
      .filter(({ jobId }) => jobId === plan.id)
      .flatMap((task) => stopTask(term, task, reason, now)),
  );
