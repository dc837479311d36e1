import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { AppendFailure } from '../streams/AppendFailure.js';
import type { CallerAppend } from './CallerAppend.js';
import { giveUpAppend } from './giveUpAppend.js';

const retryMs = 100;

/**
 * Repeats an append without an answer. One that was refused is given up at once, but only if no
 * earlier attempt may have been done.
 */
export const failCallerAppend = (
  state: State,
  append: CallerAppend,
  reason: AppendFailure,
  now: Now,
): Effect[] => {
  state.callers.appends.delete(append.appendId);
  if (reason === 'unknown') append.uncertain = true;
  else if (!append.uncertain) return giveUpAppend(state, append, 'store-refused', now);
  append.retryAt = now.at + retryMs;
  return [{ type: 'count', name: 'caller_append_retries', reason }];
};
