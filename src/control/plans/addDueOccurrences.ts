import type { Now } from '../Now.js';
import { computeDueAt } from './computeDueAt.js';
import { createOccurrence } from './createOccurrence.js';
import type { JobPlan } from './JobPlan.js';

// More than one placement pass starts. Later occurrences need what the waiting ones do, so that they lose
// nothing by being created once these have started.
const maxWaitingTasks = 512;

// Stored progress has a row for each started task of an open occurrence. The rows of this many, of up to 40 bytes each
// without checkpoints, fit into one record of 256 KiB, which former versions read too.
const maxOpenTasks = 6000;

const countOpenTasks = ({ occurrences }: JobPlan): number =>
  [...occurrences.values()].reduce(
    (sum, { steps }) => sum + steps.reduce((count, { tasks }) => count + tasks.length, 0),
    0,
  );

const countWaitingTasks = ({ occurrences }: JobPlan): number => {
  let count = 0;
  occurrences.forEach(({ steps }) =>
    steps.forEach(({ tasks }) => {
      count += tasks.filter(({ state }) => state === 'waiting').length;
    }),
  );
  return count;
};

/**
 * Creates the occurrences of a job that are due, as long as few tasks of earlier ones wait and the stored progress of
 * the open ones stays small; a job without a schedule has exactly one.
 */
export const addDueOccurrences = (plan: JobPlan, now: Now): void => {
  const { steps, schedule } = plan.submission.definition;
  const total = schedule ? schedule.count : 1;
  const isDue = (): boolean =>
    plan.nextOccurrence < total && computeDueAt(plan.submission, plan.nextOccurrence) <= now.wall;
  if (!isDue()) return;
  const tasksPerOccurrence = steps.reduce((sum, { count }) => sum + count, 0);
  let waitingCount = countWaitingTasks(plan);
  let openCount = countOpenTasks(plan);
  const hasRoom = (): boolean =>
    waitingCount < maxWaitingTasks &&
    (plan.occurrences.size === 0 || openCount + tasksPerOccurrence <= maxOpenTasks);
  while (isDue() && hasRoom()) {
    const next = createOccurrence(plan.submission, plan.nextOccurrence, now.at);
    plan.occurrences.set(next.number, next);
    plan.nextOccurrence += 1;
    waitingCount += tasksPerOccurrence;
    openCount += tasksPerOccurrence;
  }
};
