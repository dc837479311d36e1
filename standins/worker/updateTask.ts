import { answerTask } from './answerTask.js';
import type { WorkerEffect } from './WorkerEffect.js';
import type { WorkerState } from './WorkerState.js';
import { finishTask } from './finishTask.js';
import type { WorkerTask } from './WorkerTask.js';

const finishCheckpoint = (state: WorkerState, task: WorkerTask): WorkerEffect[] => {
  const waiters = task.checkpointWaiters;
  const doneMs = Math.round(task.payload.runMs - task.remainingMs);
  Object.assign(task, {
    state: 'running',
    checkpoint: `checkpoint:${task.taskId}:${doneMs}`,
    checkpointWaiters: [],
  });
  return waiters.map((requestId) => answerTask(state, requestId, true, task));
};

/** Applies what is due for a task: the end of its lease, of its checkpoint or of its work. */
export const updateTask = (
  state: WorkerState,
  task: WorkerTask,
  time: { at: number; wall: number },
): WorkerEffect[] => {
  if (task.endedAt !== null) return [];
  if (task.leaseUntil <= time.at) return finishTask(state, task, 'stopped', time);
  if (task.state === 'checkpointing') {
    const due = task.checkpointUntil <= time.at && !state.faults.hangCheckpoint;
    return due ? finishCheckpoint(state, task) : [];
  }
  if (task.state !== 'running' || task.remainingMs > 0) return [];
  return finishTask(state, task, task.payload.fail ? 'failed' : 'finished', time);
};
