import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { findTask } from '../plans/findTask.js';
import { finishPlan } from '../plans/finishPlan.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import { recordWorkerFailure } from '../workers/recordWorkerFailure.js';
import type { Worker } from '../workers/Worker.js';
import { requeueTask } from './requeueTask.js';

/** Counts a failed run; a gang run counts once, however many members failed. */
const countFailure = (step: StepPlan, task: Task): number => {
  if (!step.definition.gang) {
    task.failures += 1;
    return task.failures;
  }
  if (step.lastFailedRun !== task.run) {
    step.lastFailedRun = task.run;
    step.failures += 1;
  }
  return step.failures;
};

/** Handles a failed run: requeues its task, or fails the job once all attempts are used. */
export const handleRunFailure = (term: Term, worker: Worker, task: Task, now: Now): Effect[] => {
  const location = findTask(term, task);
  const failures = location ? countFailure(location.step, task) : 0;
  const effects: Effect[] = [
    { type: 'count', name: 'runs_ended', reason: 'failed' },
    ...recordWorkerFailure(worker, task.jobId, now),
    ...requeueTask(term, task, 'failed', now),
  ];
  if (!location || location.step.definition.longRunning || failures < location.plan.maxAttempts)
    return effects;
  return [...effects, ...finishPlan(term, location.plan, 'failed', now)];
};
