import type { JobProgress } from '../jobs/JobProgress.js';
import type { JobState } from '../jobs/JobState.js';
import type { TaskProgress } from '../jobs/TaskProgress.js';
import { mergeProgress } from '../plans/mergeProgress.js';
import { listRecords } from './listRecords.js';
import type { StoreContent } from './StoreContent.js';

interface JobReport {
  id: string;
  state: JobState;
  workspace: string;
  queue: string;
  /** Epoch milliseconds. */
  acceptedAt: number;
  cancelled: boolean;
  steps: { tasks: number; gpu: number; gang: boolean; started: number; done: number }[];
  /** Started tasks and their workers. */
  running: { step: number; index: number; run: number; workerId: string }[];
  /** Failed runs of all tasks. */
  failures: number;
}

const noProgress: Pick<JobProgress, 'tasks' | 'nextOccurrence' | 'openOccurrences'> = {
  tasks: [],
  nextOccurrence: 0,
  openOccurrences: [],
};

/** Finds the progress of a job, which may be divided into parts. */
const findProgress = ({ runs }: StoreContent, id: string): typeof noProgress => {
  const main = listRecords(runs, 'progress').find((record) => record.id === id);
  const head = listRecords(runs, 'progressHead').find((record) => record.id === id);
  const merged = mergeProgress({
    main: main ? { ...main.progress, offset: main.offset } : null,
    head: head ? { ...head.head, offset: head.offset } : null,
    parts: listRecords(runs, 'progressPart').filter((record) => record.id === id),
  });
  return merged?.progress ?? noProgress;
};

const countStep = (tasks: readonly TaskProgress[], step: number, state: TaskProgress['state']) =>
  tasks.filter((task) => task.step === step && task.state === state).length;

/** Describes a job from its stored records; null if the store has no such job. */
export const describeJob = (content: StoreContent, id: string): JobReport | null => {
  const job = listRecords(content.journal, 'submission').find(
    ({ submission }) => submission.id === id,
  )?.submission;
  if (!job) return null;
  const status = listRecords(content.journal, 'status').find((record) => record.id === id);
  const { tasks, nextOccurrence, openOccurrences } = findProgress(content, id);
  const doneOccurrences = nextOccurrence - openOccurrences.length;
  return {
    id,
    state: status?.state ?? 'queued',
    workspace: job.workspace,
    queue: job.queue,
    acceptedAt: job.acceptedAt,
    cancelled: listRecords(content.journal, 'cancellation').some((record) => record.id === id),
    steps: job.definition.steps.map(({ count, need, gang }, step) => ({
      tasks: count,
      gpu: need.gpu,
      gang,
      started: countStep(tasks, step, 'started'),
      done: countStep(tasks, step, 'done') + doneOccurrences * count,
    })),
    running: tasks
      .filter(({ state }) => state === 'started')
      .map(({ step, index, run, workerId }) => ({ step, index, run, workerId })),
    failures: tasks.reduce((sum, task) => sum + task.failures, 0),
  };
};
