import { answerTask } from './answerTask.js';
import type { WorkerHandlers } from './WorkerHandlers.js';
import { finishTask } from './finishTask.js';
import { parsePayload } from './parsePayload.js';
import { recordTask } from './recordTask.js';

/** Parses the completed run time from a checkpoint that `finishCheckpoint` made; otherwise 0. */
const parseDoneMs = (checkpoint: string | undefined): number =>
  Number(checkpoint?.match(/^checkpoint:.*:(\d+)$/)?.[1] ?? 0);

/** Handlers of task calls; all calls are idempotent. */
export const taskHandlers: Pick<
  WorkerHandlers,
  | 'prepareRequested'
  | 'startRequested'
  | 'stopRequested'
  | 'checkpointRequested'
  | 'throttleRequested'
> = {
  prepareRequested: (state, { requestId, task: preparedTask, at }) => {
    const existing = state.tasks.get(preparedTask.taskId);
    if (existing) return [answerTask(state, requestId, existing.endedAt === null, existing)];
    const { leaseMs, payload: text, ...spec } = preparedTask;
    const payload = parsePayload(text);
    state.tasks.set(preparedTask.taskId, {
      ...spec,
      payload,
      state: 'prepared',
      ranMs: 0,
      remainingMs: Math.max(payload.runMs - parseDoneMs(preparedTask.checkpoint), 0),
      speedShare: 1,
      leaseUntil: at + leaseMs,
      startedWall: null,
      endedAt: null,
      endReported: false,
      checkpointUntil: 0,
      checkpointWaiters: [],
    });
    return [answerTask(state, requestId, true, state.tasks.get(preparedTask.taskId))];
  },

  startRequested: (state, { requestId, taskId, at, wall }) => {
    const task = state.tasks.get(taskId);
    if (task?.state === 'prepared') {
      task.state = 'running';
      task.startedWall = wall;
      if (state.faults.failEverything) {
        task.remainingMs = 0;
        task.payload.fail = true;
      }
      recordTask(state, 'taskStarted', task, { at, wall });
    }
    const started = task !== undefined && task.startedWall !== null;
    return [answerTask(state, requestId, started, task)];
  },

  // An unknown task is not running either, so stopping it is accepted.
  stopRequested: (state, { requestId, taskId, at, wall }) => {
    const task = state.tasks.get(taskId);
    const isOpen = task !== undefined && task.endedAt === null;
    return [
      ...(isOpen ? finishTask(state, task, 'stopped', { at, wall }) : []),
      answerTask(state, requestId, true, task),
    ];
  },

  // The task pauses during the checkpoint; the call is answered when the checkpoint is complete.
  checkpointRequested: (state, { requestId, taskId, at }) => {
    const task = state.tasks.get(taskId);
    if (task?.state !== 'running' && task?.state !== 'checkpointing') {
      return [answerTask(state, requestId, false, task)];
    }
    if (task.state === 'running') {
      task.state = 'checkpointing';
      task.checkpointUntil = at + task.payload.checkpointMs;
    }
    task.checkpointWaiters.push(requestId);
    return [];
  },

  throttleRequested: (state, { requestId, taskId, share }) => {
    const task = state.tasks.get(taskId);
    const isOpen = task !== undefined && task.endedAt === null;
    if (isOpen) task.speedShare = share;
    return [answerTask(state, requestId, isOpen, task)];
  },
};
