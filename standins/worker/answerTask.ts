import { answerControl } from './answerControl.js';
import type { BackendEffect } from './BackendEffect.js';
import type { BackendState } from './BackendState.js';
import type { WorkerTask } from './WorkerTask.js';

/** Answers a call about a task, with the task's newest checkpoint. */
export const answerTask = (
  state: BackendState,
  requestId: string,
  accepted: boolean,
  task: WorkerTask | undefined,
): BackendEffect =>
  answerControl(state, requestId, {
    accepted,
    ...(task?.checkpoint === undefined ? {} : { checkpoint: task.checkpoint }),
  });
