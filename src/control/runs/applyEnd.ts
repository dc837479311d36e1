import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { findTask } from '../plans/findTask.js';
import type { Task } from '../plans/Task.js';
import { noteUsage } from '../usage/noteUsage.js';
import type { Sighting } from '../usage/Sighting.js';
import type { ListedEnd } from '../workers/ListedEnd.js';
import type { Worker } from '../workers/Worker.js';
import { endHandlers } from './endHandlers.js';
import { noteDone } from './noteDone.js';

const noteCheckpoint = (term: Term, task: Task, checkpoint: string): void => {
  if (checkpoint === '') return;
  task.checkpoint = checkpoint;
  const place = findTask(term, task.name);
  if (place?.step.step.gang) place.step.checkpoint = checkpoint;
};

/** Takes the end of a run into the plans. */
export const applyEnd = (
  term: Term,
  worker: Worker,
  end: ListedEnd,
  seen: Sighting,
  now: Now,
): Effect[] => {
  const task = worker.tasks.get(end.task);
  if (task?.run === end.run) {
    noteCheckpoint(term, task, end.checkpoint);
    noteUsage(term, task, 'listed', seen, now);
    return endHandlers[end.kind](term, worker, task, now);
  }
  // An earlier run that was given up for lost did finish: its result counts, but a task that lasts
  // has no result.
  const place = end.kind === 'done' ? findTask(term, end.task) : null;
  if (!place || place.step.step.longRunning || place.task.run < end.run) return [];
  return noteDone(term, worker, place.task, now);
};
