import type { TaskProgress } from '../jobs/TaskProgress.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { markRunning } from '../runs/markRunning.js';
import { reserveResources } from '../workers/reserveResources.js';
import { getOrCreateWorker } from '../workers/getOrCreateWorker.js';
import { createOccurrence } from './createOccurrence.js';
import type { JobPlan } from './JobPlan.js';
import { markTaskDone } from './markTaskDone.js';

const restoreTask = (term: Term, plan: JobPlan, saved: TaskProgress, now: Now): void => {
  const occurrence = plan.occurrences.get(saved.occurrence);
  const step = occurrence?.steps[saved.step];
  const task = step?.tasks[saved.index];
  if (!occurrence || !step || !task) return;
  task.run = saved.run;
  task.failures = saved.failures;
  task.checkpoint = saved.checkpoint;
  if (step.step.gang) {
    step.failures = Math.max(step.failures, saved.failures);
    step.checkpoint = saved.checkpoint || step.checkpoint;
  }
  if (saved.state === 'done') markTaskDone(plan, occurrence, step, task);
  if (saved.state === 'started') {
    // The worker's next listing tells whether the run is there.
    reserveResources(getOrCreateWorker(term, saved.workerId, now), task);
    markRunning(task, now);
    task.startedAt = now.at - Math.max(0, now.wall - saved.startedAt);
    task.stateSince = task.startedAt;
    task.observedRunningAt = null;
  }
};

/** Brings a new plan to the progress that the journal holds. */
export const restorePlan = (term: Term, plan: JobPlan, tasks: TaskProgress[], now: Now): void => {
  const lastOccurrence = Math.max(-1, ...tasks.map(({ occurrence }) => occurrence));
  for (; plan.nextOccurrence <= lastOccurrence; plan.nextOccurrence += 1) {
    const occurrence = createOccurrence(plan.submission, plan.nextOccurrence, now.at);
    plan.occurrences.set(occurrence.number, occurrence);
  }
  tasks.forEach((saved) => restoreTask(term, plan, saved, now));
};
