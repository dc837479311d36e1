import type { Term } from '../lead/Term.js';
import { findTask } from './findTask.js';
import type { TaskLocation } from './TaskLocation.js';

/** Finds a task by the name that workers use; null if its occurrence is finished or unknown. */
export const findTaskByName = (term: Term, name: string): TaskLocation | null => {
  const [jobId = '', occurrence, step, index] = name.split('.');
  return findTask(term, {
    jobId,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  });
};
