import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { handleRecorderLost } from './handleRecorderLost.js';
import { handleSchedulerLost } from './handleSchedulerLost.js';

/** Takes care of the records that a lost daemon held or had copied. */
export const handleLinkClosed = (state: State, event: EventOf<'linkClosed'>): Effect[] => [
  ...handleRecorderLost(state, event),
  ...handleSchedulerLost(state, event),
];
