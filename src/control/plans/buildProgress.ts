import type { JobProgress } from '../jobs/JobProgress.js';
import type { TaskProgress } from '../jobs/TaskProgress.js';
import type { Now } from '../Now.js';
import { isJobEnded } from './isJobEnded.js';
import type { JobPlan } from './JobPlan.js';
import type { OccurrencePlan } from './OccurrencePlan.js';
import type { StepPlan } from './StepPlan.js';
import type { Task } from './Task.js';

const storedStates = {
  waiting: 'waiting',
  recording: 'started',
  starting: 'started',
  running: 'started',
  stopping: 'started',
  done: 'done',
} as const;

const buildTaskProgress = (step: StepPlan, task: Task, now: Now): TaskProgress => ({
  occurrence: task.occurrence,
  step: task.step,
  index: task.index,
  state: step.remaining === 0 ? 'done' : storedStates[task.state],
  run: task.run,
  failures: step.definition.gang ? step.failures : task.failures,
  workerId: task.workerId,
  checkpoint: step.definition.gang ? step.checkpoint : task.checkpoint,
  startedAt: task.startedAt === null ? 0 : Math.round(now.wall - (now.at - task.startedAt)),
});

const listStartedTasks = (occurrence: OccurrencePlan, now: Now): TaskProgress[] =>
  occurrence.steps.flatMap((step) =>
    step.tasks.filter(({ run }) => run > 0).map((task) => buildTaskProgress(step, task, now)),
  );

/**
 * Rebuilds the progress of finished occurrences, whose plans have been deleted. A gang needs one entry,
 * because it is done as soon as one member is.
 */
const listCompletedTasks = (plan: JobPlan): TaskProgress[] =>
  Array.from({ length: plan.nextOccurrence }, (_, number) => number)
    .filter((number) => !plan.occurrences.has(number))
    .flatMap((occurrence) =>
      plan.submission.definition.steps.flatMap((step, index) =>
        Array.from({ length: step.gang ? 1 : step.count }, (_, taskIndex): TaskProgress => ({
          occurrence,
          step: index,
          index: taskIndex,
          state: 'done',
          run: 1,
          failures: 0,
          workerId: '',
          checkpoint: '',
          startedAt: 0,
        })),
      ),
    );

/** Builds the stored progress of a job; the tasks of an ended job are left out. */
export const buildProgress = (plan: JobPlan, now: Now): JobProgress => ({
  state: plan.state,
  endedAt: plan.endedAt,
  tasks: isJobEnded(plan.state)
    ? []
    : [
        ...listCompletedTasks(plan),
        ...[...plan.occurrences.values()].flatMap((occurrence) =>
          listStartedTasks(occurrence, now),
        ),
      ],
});
