import type { Effect } from '../Effect.js';
import { endTerm } from '../lead/endTerm.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { AppendFailure } from '../streams/AppendFailure.js';
import type { PendingAppend } from './PendingAppend.js';

// Delay before retrying an append that the store refused.
const retryDelayMs = 150;

const termEndingFailures: readonly AppendFailure[] = ['fenced', 'sequence', 'conflict', 'invalid'];

/**
 * Schedules a retry of the append, or ends the term if a retry cannot succeed, for example because
 * another VM has appended with a higher token.
 */
export const handleAppendFailure = (
  state: State,
  append: PendingAppend,
  reason: AppendFailure,
  now: Now,
): Effect[] => {
  const count: Effect = { type: 'count', name: 'journal_write_failures', reason };
  if (termEndingFailures.includes(reason)) return [count, ...endTerm(state, 'journal-fenced', now)];
  // An append with an unknown outcome is retried at once; a store that refuses gets a pause.
  append.nextAttemptAt = now.at + (reason === 'unknown' ? 0 : retryDelayMs);
  return [count];
};
