import { applyHandler } from '../shared/applyHandler.js';
import type { HttpEffect } from '../shared/HttpEffect.js';
import type { Timed } from '../shared/Timed.js';
import type { TaskWorkerEvent } from './TaskWorkerEvent.js';
import { taskWorkerHandlers } from './taskWorkerHandlers.js';
import type { TaskWorkerState } from './TaskWorkerState.js';

const findNextDue = (state: TaskWorkerState): number | null => {
  const ends = state.runs.filter(({ endedAt }) => endedAt === null).map(({ dueAt }) => dueAt);
  const lapse = ends.length > 0 ? state.bootAt + state.leaseUntil : Number.POSITIVE_INFINITY;
  const due = Math.min(lapse, ...ends, ...state.holds.map(({ dueAt }) => dueAt));
  return Number.isFinite(due) ? due : null;
};

/** Decides on one event of the worker. */
export const reduceTaskWorker = (
  state: TaskWorkerState,
  event: Timed<TaskWorkerEvent>,
): HttpEffect[] => [
  ...applyHandler<TaskWorkerState, TaskWorkerEvent, HttpEffect>(taskWorkerHandlers, state, event),
  { type: 'wake', at: findNextDue(state) },
];
