import { answerTask } from './answerTask.js';
import type { WorkerEffect } from './WorkerEffect.js';
import type { WorkerState } from './WorkerState.js';
import { recordTask } from './recordTask.js';
import type { WorkerTask } from './WorkerTask.js';

/** Ends a task; one that ran gets a journal line and a usage line. */
export const finishTask = (
  state: WorkerState,
  task: WorkerTask,
  end: 'finished' | 'failed' | 'stopped',
  time: { at: number; wall: number },
): WorkerEffect[] => {
  const waiters = task.checkpointWaiters;
  Object.assign(task, { state: end, endedAt: time.at, checkpointWaiters: [] });
  if (task.startedWall !== null) {
    recordTask(state, 'taskEnded', task, time);
    const { taskId, jobId, workspace, accelerators, startedWall } = task;
    state.usage.push({
      at: time.at,
      line: {
        seq: state.usage.length + 1,
        taskId,
        jobId,
        workspace,
        accelerators,
        startedWall,
        endedWall: time.wall,
      },
    });
  }
  return waiters.map((requestId) => answerTask(state, requestId, false, task));
};
