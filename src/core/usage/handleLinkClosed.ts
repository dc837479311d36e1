import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { handleRecorderLost } from './handleRecorderLost.js';
import { handleSchedulerLost } from './handleSchedulerLost.js';

/** Handles the records that a disconnected daemon held, or whose copies it had sent. */
export const handleLinkClosed = (state: State, event: EventOf<'linkClosed'>): Effect[] => [
  ...handleRecorderLost(state, event),
  ...handleSchedulerLost(state, event),
];
