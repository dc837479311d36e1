import type { JobPlan } from './JobPlan.js';
import type { OccurrencePlan } from './OccurrencePlan.js';
import type { StepPlan } from './StepPlan.js';
import type { Task } from './Task.js';

const finishStep = (plan: JobPlan, occurrence: OccurrencePlan): void => {
  occurrence.remaining -= 1;
  if (occurrence.remaining === 0) plan.occurrences.delete(occurrence.number);
};

/** Marks a task as done; a gang is done as soon as one member is. */
export const markTaskDone = (
  plan: JobPlan,
  occurrence: OccurrencePlan,
  step: StepPlan,
  task: Task,
): void => {
  if (step.remaining === 0) return;
  if (step.definition.gang) {
    step.tasks.forEach((member) => {
      if (member.state === 'waiting') member.state = 'done';
    });
    step.remaining = 0;
    task.state = 'done';
  } else {
    if (task.state === 'done') return;
    task.state = 'done';
    step.remaining -= 1;
  }
  if (step.remaining === 0) finishStep(plan, occurrence);
};
