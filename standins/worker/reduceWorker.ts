import { applyHandler } from '../shared/applyHandler.js';
import type { Timed } from '../shared/Timed.js';
import type { WorkerEffect } from './WorkerEffect.js';
import type { WorkerEvent } from './WorkerEvent.js';
import type { WorkerState } from './WorkerState.js';
import { workerEventHandlers } from './workerEventHandlers.js';
import { findNextDue } from './findNextDue.js';
import { updateProgress } from './updateProgress.js';

/** Handles one event of a backend server. */
export const reduceWorker = (state: WorkerState, event: Timed<WorkerEvent>): WorkerEffect[] => [
  ...updateProgress(state, event),
  ...applyHandler<WorkerState, WorkerEvent, WorkerEffect>(workerEventHandlers, state, event),
  { type: 'wake', at: findNextDue(state, event.at) },
];
