import { applyHandler } from '../shared/applyHandler.js';
import type { HttpEffect } from '../shared/HttpEffect.js';
import type { Timed } from '../shared/Timed.js';
import type { TaskWorkerEvent } from './TaskWorkerEvent.js';
import { taskWorkerHandlers } from './taskWorkerHandlers.js';
import type { TaskWorkerState } from './TaskWorkerState.js';

const findNextDueAt = (state: TaskWorkerState): number | null => {
  const ends = state.runs.filter(({ endedAt }) => endedAt === null).map(({ dueAt }) => dueAt);
  const lapsesAt = ends.length > 0 ? state.bootAt + state.leaseExpiryMs : Number.POSITIVE_INFINITY;
  const nextDueAt = Math.min(lapsesAt, ...ends, ...state.pendingHolds.map(({ dueAt }) => dueAt));
  return Number.isFinite(nextDueAt) ? nextDueAt : null;
};

/** Handles one event of the worker. */
export const reduceTaskWorker = (
  state: TaskWorkerState,
  event: Timed<TaskWorkerEvent>,
): HttpEffect[] => [
  ...applyHandler<TaskWorkerState, TaskWorkerEvent, HttpEffect>(taskWorkerHandlers, state, event),
  { type: 'wake', at: findNextDueAt(state) },
];
