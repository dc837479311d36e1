import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { findTask } from '../plans/findTask.js';
import { findTaskByName } from '../plans/findTaskByName.js';
import { markJobRunning } from '../plans/markJobRunning.js';
import type { Task } from '../plans/Task.js';
import { recordUsage } from '../usage/recordUsage.js';
import type { EndObservation } from '../usage/EndObservation.js';
import type { EndedRun } from '../workers/EndedRun.js';
import type { Worker } from '../workers/Worker.js';
import { runEndHandlers } from './runEndHandlers.js';
import { handleRunDone } from './handleRunDone.js';

const updateCheckpoint = (term: Term, task: Task, checkpoint: string): void => {
  if (checkpoint === '') return;
  task.checkpoint = checkpoint;
  const location = findTask(term, task);
  if (location?.step.definition.gang) location.step.checkpoint = checkpoint;
};

/** Applies a run end listed by a worker to its task. */
export const applyRunEnd = (
  term: Term,
  worker: Worker,
  end: EndedRun,
  observation: EndObservation,
  now: Now,
): Effect[] => {
  const task = worker.tasks.get(end.task);
  if (task?.run === end.run) {
    updateCheckpoint(term, task, end.checkpoint);
    recordUsage(term, task, 'listed', observation, now);
    return [
      ...markJobRunning(term, task, now),
      ...runEndHandlers[end.kind](term, worker, task, now),
    ];
  }
  // An earlier run that was given up as lost did finish, and its result counts. Long-running tasks
  // have no result.
  const location = end.kind === 'done' ? findTaskByName(term, end.task) : null;
  if (!location || location.step.definition.longRunning || location.task.run < end.run) return [];
  return [
    ...markJobRunning(term, location.task, now),
    ...handleRunDone(term, worker, location.task, now),
  ];
};
