import type { Term } from '../lead/Term.js';
import type { JobPlan } from './JobPlan.js';
import type { OccurrencePlan } from './OccurrencePlan.js';
import type { StepPlan } from './StepPlan.js';
import type { Task } from './Task.js';

interface TaskLocation {
  plan: JobPlan;
  occurrence: OccurrencePlan;
  step: StepPlan;
  task: Task;
}

/** Finds a task by the name that workers use; null if its occurrence is finished or unknown. */
export const findTask = (term: Term, name: string): TaskLocation | null => {
  const [jobId = '', occurrenceText, stepText, indexText] = name.split('.');
  const plan = term.plans.get(jobId);
  const occurrence = plan?.occurrences.get(Number(occurrenceText));
  const step = occurrence?.steps[Number(stepText)];
  const task = step?.tasks[Number(indexText)];
  return plan && occurrence && step && task ? { plan, occurrence, step, task } : null;
};
