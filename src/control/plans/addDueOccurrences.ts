import type { Now } from '../Now.js';
import { createOccurrence } from './createOccurrence.js';
import type { JobPlan } from './JobPlan.js';

/** Creates the occurrences of a job that are due; a job without a schedule has exactly one. */
export const addDueOccurrences = (plan: JobPlan, now: Now): void => {
  const { schedule } = plan.submission.definition;
  const total = schedule ? schedule.count : 1;
  while (plan.nextOccurrence < total) {
    const next = createOccurrence(plan.submission, plan.nextOccurrence, now.at);
    if (next.dueAt > now.wall) return;
    plan.occurrences.set(next.number, next);
    plan.nextOccurrence += 1;
  }
};
