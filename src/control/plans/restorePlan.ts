import type { TaskProgress } from '../jobs/TaskProgress.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { beginRun } from '../runs/beginRun.js';
import { placeTask } from '../workers/placeTask.js';
import { getWorker } from '../workers/getWorker.js';
import { createOccurrence } from './createOccurrence.js';
import type { JobPlan } from './JobPlan.js';
import { noteTaskDone } from './noteTaskDone.js';

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
  if (saved.state === 'done') noteTaskDone(plan, occurrence, step, task);
  if (saved.state === 'started') {
    // The worker's next listing tells whether the run is there.
    placeTask(getWorker(term, saved.workerId, now), task);
    beginRun(task, now);
    task.startedAt = now.at - Math.max(0, now.wall - saved.startedAt);
    task.since = task.startedAt;
    task.seenAt = null;
  }
};

/** Brings a new plan to the progress that the journal holds. */
export const restorePlan = (term: Term, plan: JobPlan, tasks: TaskProgress[], now: Now): void => {
  const highest = Math.max(-1, ...tasks.map(({ occurrence }) => occurrence));
  for (; plan.nextOccurrence <= highest; plan.nextOccurrence += 1) {
    const occurrence = createOccurrence(plan.submission, plan.nextOccurrence, now.at);
    plan.occurrences.set(occurrence.number, occurrence);
  }
  tasks.forEach((saved) => restoreTask(term, plan, saved, now));
};
