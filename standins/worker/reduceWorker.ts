import { applyHandler } from '../shared/applyHandler.js';
import type { Timed } from '../shared/Timed.js';
import type { BackendEffect } from './BackendEffect.js';
import type { BackendEvent } from './BackendEvent.js';
import type { BackendState } from './BackendState.js';
import { backendTable } from './backendTable.js';
import { findNextDue } from './findNextDue.js';
import { updateProgress } from './updateProgress.js';

/** Decides on one event of a backend server. */
export const reduceWorker = (state: BackendState, event: Timed<BackendEvent>): BackendEffect[] => [
  ...updateProgress(state, event),
  ...applyHandler<BackendState, BackendEvent, BackendEffect>(backendTable, state, event),
  { type: 'wake', at: findNextDue(state, event.at) },
];
