import { answerControl } from './answerControl.js';
import type { WorkerEffect } from './WorkerEffect.js';
import type { WorkerState } from './WorkerState.js';
import type { WorkerTask } from './WorkerTask.js';

/** Answers a task call, including the task's latest checkpoint. */
export const answerTask = (
  state: WorkerState,
  requestId: string,
  accepted: boolean,
  task: WorkerTask | undefined,
): WorkerEffect =>
  answerControl(state, requestId, {
    accepted,
    ...(task?.checkpoint === undefined ? {} : { checkpoint: task.checkpoint }),
  });
