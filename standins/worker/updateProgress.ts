import type { WorkerEffect } from './WorkerEffect.js';
import type { WorkerState } from './WorkerState.js';
import { computeEffectiveSpeed } from './computeEffectiveSpeed.js';
import { recordRequest } from './recordRequest.js';
import type { ShortRequest } from './ShortRequest.js';
import { updateTask } from './updateTask.js';

// Ended tasks stay in reports this long, so that a new holder still learns of their end.
const endedTaskRetentionMs = 30_000;

const buildAnswer = (
  state: WorkerState,
  requestId: string,
  request: ShortRequest,
): WorkerEffect => {
  const { method, path, attemptId, siskinRequest, requestBodyBytes, answerBytes, status } = request;
  return {
    type: 'answerShortRequest',
    requestId,
    status,
    echo: { method, path, worker: state.id, requestBodyBytes, attemptId, siskinRequest },
    pad: `${siskinRequest ?? requestId} `,
    answerBytes,
    truncate: state.faults.truncateAnswers,
  };
};

const finishRequest = (
  state: WorkerState,
  requestId: string,
  request: ShortRequest,
  time: { at: number; wall: number },
): WorkerEffect[] => {
  if (request.phase !== 'working' || request.remainingMs > 0) return [];
  if (request.callerGone) {
    state.requests.delete(requestId);
    recordRequest(state, request, time, 'interrupted');
    return [];
  }
  request.phase = 'answering';
  return [buildAnswer(state, requestId, request)];
};

/** Applies the progress since the last event and ends the work that is due. */
export const updateProgress = (
  state: WorkerState,
  time: { at: number; wall: number },
): WorkerEffect[] => {
  const elapsedMs = time.at - state.progressAt;
  const doneMs = elapsedMs * computeEffectiveSpeed(state);
  state.progressAt = time.at;
  state.tasks.forEach((task) => {
    if (task.state === 'running') task.remainingMs -= doneMs * task.speedShare;
    if (task.startedWall !== null && task.endedAt === null) task.ranMs += elapsedMs;
    if (task.endReported && time.at - (task.endedAt ?? time.at) >= endedTaskRetentionMs) {
      state.tasks.delete(task.taskId);
    }
  });
  state.requests.forEach((request) => {
    if (request.phase === 'working') request.remainingMs -= doneMs;
  });
  return [
    ...[...state.tasks.values()].flatMap((task) => updateTask(state, task, time)),
    ...[...state.requests].flatMap(([id, request]) => finishRequest(state, id, request, time)),
  ];
};
