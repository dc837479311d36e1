import type { TaskProgress } from '../jobs/TaskProgress.js';
import type { Now } from '../Now.js';
import { buildTaskProgress } from '../plans/buildTaskProgress.js';
import type { JobPlan } from '../plans/JobPlan.js';
import type { Task } from '../plans/Task.js';
import { measureTaskBytes } from './measureTaskBytes.js';

/** The row of a task in a part, and the most bytes that it takes. */
interface PartRow {
  task: Task;
  row: TaskProgress;
  bytes: number;
}

/** A checkpoint that no record can hold is left out; the worker lists it to the next leader. */
const dropLongCheckpoint = (row: TaskProgress, maxBytes: number): TaskProgress =>
  measureTaskBytes(row) <= maxBytes ? row : { ...row, checkpoint: '' };

/** Builds the rows of the tasks whose occurrences are unfinished. */
export const buildPartRows = (
  plan: JobPlan,
  tasks: Iterable<Task>,
  maxRowBytes: number,
  now: Now,
): PartRow[] =>
  [...tasks].flatMap((task) => {
    const step = plan.occurrences.get(task.occurrence)?.steps[task.step];
    if (!step) return [];
    const row = dropLongCheckpoint(buildTaskProgress(step, task, now), maxRowBytes);
    return [{ task, row, bytes: measureTaskBytes(row) }];
  });
