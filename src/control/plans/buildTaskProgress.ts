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

/** Builds the stored progress of a task that was started at least once. */
export const buildTaskProgress = (step: StepPlan, task: Task, now: Now): TaskProgress => {
  const { gang } = step.definition;
  const state = step.remaining === 0 ? 'done' : storedStates[task.state];
  // No successor needs the last run of a done task; without it, thousands of them fit into one record.
  const hasRun = state !== 'done';
  const checkpoint = gang ? step.checkpoint : task.checkpoint;
  return {
    occurrence: task.occurrence,
    step: task.step,
    index: task.index,
    state,
    run: task.run,
    failures: gang ? step.failures : task.failures,
    workerId: hasRun ? task.workerId : '',
    checkpoint: hasRun ? checkpoint : '',
    startedAt:
      hasRun && task.startedAt !== null ? Math.round(now.wall - (now.at - task.startedAt)) : 0,
  };
};
