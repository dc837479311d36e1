import type { TaskProgress } from '../jobs/TaskProgress.js';
import type { Now } from '../Now.js';
import { buildTaskProgress } from '../plans/buildTaskProgress.js';
import type { JobPlan } from '../plans/JobPlan.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import { measureTaskBytes } from './measureTaskBytes.js';

/** The row of a task in a part, and the most bytes that it takes. */
interface PartRow {
  task: Task;
  row: TaskProgress;
  bytes: number;
}

/** Builds a row; a checkpoint that no record can hold is left out, and the worker lists it to the next leader. */
const buildPartRow = (step: StepPlan, task: Task, maxBytes: number, now: Now): PartRow => {
  const row = buildTaskProgress(step, task, now);
  const bytes = measureTaskBytes(row);
  if (bytes <= maxBytes) return { task, row, bytes };
  const shortRow = { ...row, checkpoint: '' };
  return { task, row: shortRow, bytes: measureTaskBytes(shortRow) };
};

/** Builds the rows of the tasks whose occurrences are unfinished. */
export const buildPartRows = (
  plan: JobPlan,
  tasks: Iterable<Task>,
  maxRowBytes: number,
  now: Now,
): PartRow[] =>
  [...tasks].flatMap((task) => {
    const step = plan.occurrences.get(task.occurrence)?.steps[task.step];
    return step ? [buildPartRow(step, task, maxRowBytes, now)] : [];
  });
