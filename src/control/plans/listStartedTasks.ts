import type { JobPlan } from './JobPlan.js';
import type { Task } from './Task.js';

/** Lists the tasks of unfinished occurrences that were started at least once. */
export const listStartedTasks = ({ occurrences }: JobPlan): Set<Task> =>
  new Set(
    [...occurrences.values()].flatMap(({ steps }) =>
      steps.flatMap(({ tasks }) => tasks.filter(({ run }) => run > 0)),
    ),
  );
