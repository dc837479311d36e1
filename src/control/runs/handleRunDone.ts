import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { findTask } from '../plans/findTask.js';
import { finishPlan } from '../plans/finishPlan.js';
import type { JobPlan } from '../plans/JobPlan.js';
import { markUnwritten } from '../plans/markUnwritten.js';
import { markTaskDone } from '../plans/markTaskDone.js';
import type { Task } from '../plans/Task.js';
import { releaseResources } from '../workers/releaseResources.js';
import type { Worker } from '../workers/Worker.js';
import { requeueTask } from './requeueTask.js';
import { stopTask } from './stopTask.js';

const isPlanDone = (plan: JobPlan): boolean =>
  plan.occurrences.size === 0 &&
  plan.nextOccurrence >= (plan.submission.definition.schedule?.count ?? 1);

/**
 * Completes a task after a successful run on this worker; if that was an earlier run, stops the current
 * one on its worker. Long-running tasks are requeued instead.
 */
export const handleRunDone = (term: Term, worker: Worker, task: Task, now: Now): Effect[] => {
  const location = findTask(term, task);
  if (location?.step.definition.longRunning) return requeueTask(term, task, 'done', now);
  const effects: Effect[] = [];
  if (task.workerId === worker.id) {
    releaseResources(worker, task);
  } else effects.push(...stopTask(term, task, 'job-ended', now));
  worker.failedRunsByJob.clear();
  worker.quarantineCount = 0;
  term.placementDue = true;
  const fields = { requestId: task.jobId, task: task.name, run: task.run, worker: worker.id };
  effects.push(
    { type: 'count', name: 'runs_ended', reason: 'done' },
    {
      type: 'log',
      level: 'info',
      code: 'task_done',
      fields: { ...fields, ranMs: Math.round(now.at - task.stateSince) },
    },
  );
  if (!location) {
    task.state = 'done';
    return effects;
  }
  markTaskDone(location.plan, location.occurrence, location.step, task);
  markUnwritten(term, task.jobId, [task]);
  // An earlier run of the task, on a worker that was not known to run any of the job.
  term.refusedJobs.get(task.jobId)?.heldWorkerIds.add(worker.id);
  if (isPlanDone(location.plan)) effects.push(...finishPlan(term, location.plan, 'completed', now));
  return effects;
};
