import type { JobProgress } from '../jobs/JobProgress.js';
import type { TaskProgress } from '../jobs/TaskProgress.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { markRunning } from '../runs/markRunning.js';
import { reserveResources } from '../workers/reserveResources.js';
import { getOrCreateWorker } from '../workers/getOrCreateWorker.js';
import { createOccurrence } from './createOccurrence.js';
import type { JobPlan } from './JobPlan.js';
import { markTaskDone } from './markTaskDone.js';

const restoreTask = (term: Term, plan: JobPlan, stored: TaskProgress, now: Now): void => {
  const occurrence = plan.occurrences.get(stored.occurrence);
  const step = occurrence?.steps[stored.step];
  const task = step?.tasks[stored.index];
  if (!occurrence || !step || !task) return;
  task.run = stored.run;
  task.failures = stored.failures;
  task.checkpoint = stored.checkpoint;
  if (step.definition.gang) {
    step.failures = Math.max(step.failures, stored.failures);
    step.checkpoint = stored.checkpoint || step.checkpoint;
  }
  if (stored.state === 'done') markTaskDone(plan, occurrence, step, task);
  if (stored.state === 'started') {
    // Assumed to be running until the worker's next listing confirms or refutes it.
    reserveResources(getOrCreateWorker(term, stored.workerId, now), task);
    markRunning(task, now);
    task.startedAt = now.at - Math.max(0, now.wall - stored.startedAt);
    task.stateSince = task.startedAt;
    task.observedRunningAt = null;
  }
};

/** Applies the stored progress of a job to its new plan. */
export const restorePlan = (term: Term, plan: JobPlan, progress: JobProgress, now: Now): void => {
  plan.nextOccurrence = progress.nextOccurrence;
  progress.openOccurrences.forEach((number) => {
    plan.occurrences.set(number, createOccurrence(plan.submission, number, now.at));
  });
  progress.tasks.forEach((stored) => restoreTask(term, plan, stored, now));
};
