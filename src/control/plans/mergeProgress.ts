import type { JobProgress } from '../jobs/JobProgress.js';
import type { ProgressHead } from '../jobs/ProgressHead.js';
import type { ProgressPart } from '../jobs/ProgressPart.js';
import type { TaskProgress } from '../jobs/TaskProgress.js';
import { isJobEnded } from './isJobEnded.js';

/** The stored records of one job's progress, with their offsets; null for those that don't exist. */
interface StoredProgress {
  main: (JobProgress & { offset: number }) | null;
  head: (ProgressHead & { offset: number }) | null;
  parts: readonly ProgressPart[];
}

interface MergedProgress {
  progress: JobProgress;
  /** Whether the progress is divided into parts. */
  isDivided: boolean;
  /** False if the leader ended while it divided the progress. */
  isComplete: boolean;
  /** For each task of `progress`, the number of its part; -1 if its row is in the main record. */
  partNumbers: number[];
}

const buildTaskKey = ({ occurrence, step, index }: TaskProgress): string =>
  `${occurrence}.${step}.${index}`;

/** The main record of divided progress names nothing as open, so that a former version starts none of its tasks. */
const isPlaceholder = ({ tasks, openOccurrences }: JobProgress): boolean =>
  tasks.length === 0 && openOccurrences.length === 0;

const isMainNewest = ({ main, head }: StoredProgress): boolean => {
  if (!head) return true;
  if (!main) return false;
  return isJobEnded(main.state) || (!isPlaceholder(main) && main.offset > head.offset);
};

/**
 * Merges the stored records of a job's progress; null if there are none. Parts replace the rows of an older main
 * record, and the newest row of a task holds: the leader that wrote them may have ended between two appends.
 */
export const mergeProgress = (stored: StoredProgress): MergedProgress | null => {
  const { main, head, parts } = stored;
  if (!head || isMainNewest(stored)) {
    const partNumbers = (main?.tasks ?? []).map(() => -1);
    return main && { progress: main, isDivided: false, isComplete: true, partNumbers };
  }
  const rows = new Map<string, { task: TaskProgress; part: number }>();
  main?.tasks.forEach((task) => rows.set(buildTaskKey(task), { task, part: -1 }));
  const oldestOffset = main && !isPlaceholder(main) ? main.offset : -1;
  parts
    .filter(({ offset }) => offset > oldestOffset)
    .sort((a, b) => a.offset - b.offset)
    .forEach(({ part, tasks }) =>
      tasks.forEach((task) => rows.set(buildTaskKey(task), { task, part })),
    );
  const merged = [...rows.values()];
  const { nextOccurrence, openOccurrences } = head;
  return {
    progress: {
      state: main?.state ?? 'running',
      endedAt: 0,
      nextOccurrence,
      openOccurrences,
      tasks: merged.map(({ task }) => task),
    },
    isDivided: true,
    isComplete: main !== null && isPlaceholder(main),
    partNumbers: merged.map(({ part }) => part),
  };
};
