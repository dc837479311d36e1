import type { Term } from '../lead/Term.js';
import type { Task } from './Task.js';
import type { TaskLocation } from './TaskLocation.js';

type TaskPosition = Pick<Task, 'jobId' | 'occurrence' | 'step' | 'index'>;

/** Finds a task by its position; null if its occurrence is finished or unknown. */
export const findTask = (term: Term, position: TaskPosition): TaskLocation | null => {
  const plan = term.plans.get(position.jobId);
  const occurrence = plan?.occurrences.get(position.occurrence);
  const step = occurrence?.steps[position.step];
  const task = step?.tasks[position.index];
  return plan && occurrence && step && task ? { plan, occurrence, step, task } : null;
};
