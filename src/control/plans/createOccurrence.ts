import type { Submission } from '../jobs/Submission.js';
import { computeDueAt } from './computeDueAt.js';
import { createTask } from './createTask.js';
import type { OccurrencePlan } from './OccurrencePlan.js';
import type { StepPlan } from './StepPlan.js';

// Prior standard deviation: declared run times are off by a factor of two either way.
const logOverrunStdDev = 0.6;

/** Creates the plan for one occurrence of a job. */
export const createOccurrence = (
  submission: Submission,
  number: number,
  at: number,
): OccurrencePlan => {
  const plans = submission.definition.steps.map((definition, index): StepPlan => ({
    index,
    definition,
    tasks: Array.from({ length: definition.count }, (_, taskIndex) =>
      createTask(submission, { occurrence: number, step: index, index: taskIndex }, definition, at),
    ),
    remaining: definition.count,
    checkpoint: '',
    failures: 0,
    lastFailedRun: 0,
    readySince: at,
    waitLogged: false,
    logOverrun: { mean: 0, variance: logOverrunStdDev ** 2 },
  }));
  return {
    number,
    dueAt: computeDueAt(submission, number),
    steps: plans,
    remaining: plans.length,
  };
};
