import type { TaskProgress } from '../jobs/TaskProgress.js';
import type { Now } from '../Now.js';
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

// No successor needs the last run of a done task; without it, thousands of them fit into one record.
const noRun = { workerId: '', checkpoint: '', startedAt: 0 };

const buildRun = (step: StepPlan, task: Task, now: Now): typeof noRun => ({
  workerId: task.workerId,
  checkpoint: step.definition.gang ? step.checkpoint : task.checkpoint,
  startedAt: task.startedAt === null ? 0 : Math.round(now.wall - (now.at - task.startedAt)),
});

/** Builds the stored progress of a task that was started at least once. */
export const buildTaskProgress = (step: StepPlan, task: Task, now: Now): TaskProgress => {
  const state = step.remaining === 0 ? 'done' : storedStates[task.state];
  return {
    occurrence: task.occurrence,
    step: task.step,
    index: task.index,
    state,
    run: task.run,
    failures: step.definition.gang ? step.failures : task.failures,
    ...(state === 'done' ? noRun : buildRun(step, task, now)),
  };
};
