import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { findAttempt } from './findAttempt.js';

/** Marks the attempt as sent; its outcome is unknown until the worker answers. */
export const handleAttemptSent = (state: State, event: EventOf<'attemptSent'>): Effect[] => {
  const exchange = findAttempt(state, event);
  if (exchange?.phase === 'granted') exchange.phase = 'sent';
  return [];
};
