import type { StandInHandlers } from '../shared/StandInHandlers.js';
import type { BackendEffect } from './BackendEffect.js';
import type { BackendEvent } from './BackendEvent.js';
import type { BackendState } from './BackendState.js';

/** Handlers of all events of a backend server. */
export type BackendHandlers = StandInHandlers<BackendState, BackendEvent, BackendEffect>;
