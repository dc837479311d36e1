import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { AppendFailure } from '../streams/AppendFailure.js';
import type { CallerAppend } from './CallerAppend.js';
import { abortCallerAppend } from './abortCallerAppend.js';

const retryDelayMs = 100;

/**
 * Repeats an append without an answer. One that was refused is given up at once, but only if no
 * earlier attempt may have been done.
 */
export const handleCallerAppendFailure = (
  state: State,
  append: CallerAppend,
  reason: AppendFailure,
  now: Now,
): Effect[] => {
  state.callers.appendsById.delete(append.appendId);
  if (reason === 'unknown') append.uncertain = true;
  else if (!append.uncertain) return abortCallerAppend(state, append, 'store-refused', now);
  append.retryAt = now.at + retryDelayMs;
  return [{ type: 'count', name: 'caller_append_retries', reason }];
};
