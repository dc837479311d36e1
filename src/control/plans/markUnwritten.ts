import type { Term } from '../lead/Term.js';
import type { Task } from './Task.js';

/** Marks the progress of a job, and the rows of these tasks in it, as changed since it was last written. */
export const markUnwritten = (term: Term, jobId: string, tasks: Iterable<Task>): void => {
  const changed = term.unwrittenTasks.get(jobId);
  if (!changed) {
    term.unwrittenTasks.set(jobId, new Set(tasks));
    return;
  }
  for (const task of tasks) changed.add(task);
};
