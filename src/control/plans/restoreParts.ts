import type { Term } from '../lead/Term.js';
import type { JobPlan } from './JobPlan.js';
import { markUnwritten } from './markUnwritten.js';
import type { mergeProgress } from './mergeProgress.js';
import type { Task } from './Task.js';

type MergedProgress = NonNullable<ReturnType<typeof mergeProgress>>;

/**
 * Restores which part holds the row of each task. If the former leader ended while it divided the progress, all rows
 * have to be written again.
 */
export const restoreParts = (
  term: Term,
  plan: JobPlan,
  { progress, partNumbers, isComplete }: MergedProgress,
): void => {
  const rows = progress.tasks.flatMap(({ occurrence, step, index }, position) => {
    const task = plan.occurrences.get(occurrence)?.steps[step]?.tasks[index];
    return task ? [{ task, part: partNumbers[position]! }] : [];
  });
  const numbers = [...new Set(rows.map(({ part }) => part))].filter((part) => part >= 0);
  numbers.sort((a, b) => a - b);
  const tasks = new Map(numbers.map((part) => [part, new Set<Task>()]));
  rows.forEach(({ task, part }) => {
    task.part = part;
    tasks.get(part)?.add(task);
  });
  const nextNumber = partNumbers.reduce((highest, part) => Math.max(highest, part), -1) + 1;
  plan.parts = { nextNumber, tasks, isMainWritten: isComplete };
  if (isComplete) return;
  markUnwritten(
    term,
    plan.id,
    rows.map(({ task }) => task),
  );
};
