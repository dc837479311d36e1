import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { findAttempt } from './findAttempt.js';

/** Notes that the first byte was written; from here on the outcome is unknown until answered. */
export const handleAttemptSent = (state: State, event: EventOf<'attemptSent'>): Effect[] => {
  const exchange = findAttempt(state, event);
  if (exchange?.phase === 'granted') exchange.phase = 'sent';
  return [];
};
