import type { StandInHandlers } from '../shared/StandInHandlers.js';
import type { WorkerEffect } from './WorkerEffect.js';
import type { WorkerEvent } from './WorkerEvent.js';
import type { WorkerState } from './WorkerState.js';

/** Handlers of all events of a backend server. */
export type WorkerHandlers = StandInHandlers<WorkerState, WorkerEvent, WorkerEffect>;
