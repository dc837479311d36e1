import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { AppendFailure } from '../streams/AppendFailure.js';
import type { CallerAppend } from './CallerAppend.js';
import { abortCallerAppend } from './abortCallerAppend.js';

const retryDelayMs = 100;

/**
 * Schedules a retry of a failed append. A refused append is aborted instead if no earlier attempt can
 * have taken effect, because only then is the refusal certain to be true.
 */
export const handleCallerAppendFailure = (
  state: State,
  append: CallerAppend,
  reason: AppendFailure,
  now: Now,
): Effect[] => {
  state.callers.appendsById.delete(append.appendId);
  if (reason === 'unknown') append.hasUnknownOutcome = true;
  else if (!append.hasUnknownOutcome) return abortCallerAppend(state, append, 'store-refused', now);
  append.nextAttemptAt = now.at + retryDelayMs;
  return [{ type: 'count', name: 'caller_append_retries', reason }];
};
