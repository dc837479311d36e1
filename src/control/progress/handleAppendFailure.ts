import type { Effect } from '../Effect.js';
import { endTerm } from '../lead/endTerm.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { AppendFailure } from '../streams/AppendFailure.js';
import { handleRefusedRecords } from './handleRefusedRecords.js';
import type { PendingAppend } from './PendingAppend.js';

// Delay before retrying an append that the store refused.
const retryDelayMs = 150;

type FailureHandler = (state: State, term: Term, append: PendingAppend, now: Now) => Effect[];

const scheduleRetry = (append: PendingAppend, at: number): Effect[] => {
  append.nextAttemptAt = at;
  return [];
};

const retryLater: FailureHandler = (_state, _term, append, now) =>
  scheduleRetry(append, now.at + retryDelayMs);

const endFencedTerm: FailureHandler = (state, _term, _append, now) =>
  endTerm(state, 'journal-fenced', now);

const failureHandlers: Record<AppendFailure, FailureHandler> = {
  refused: retryLater,
  // The store answers a repeated append like the first one.
  unknown: (_state, _term, append, now) => scheduleRetry(append, now.at),
  // A new leader has a higher token, with which its sequence begins anew.
  fenced: endFencedTerm,
  sequence: endFencedTerm,
  conflict: endFencedTerm,
  // No other leader could append these records either.
  invalid: (state, term, append, now) =>
    term.phase === 'fencing'
      ? retryLater(state, term, append, now)
      : handleRefusedRecords(term, append, now),
};

/** Retries a failed append, finds out what the store refuses of it, or ends a term that another one has followed. */
export const handleAppendFailure = (
  state: State,
  term: Term,
  append: PendingAppend,
  reason: AppendFailure,
  now: Now,
): Effect[] => [
  { type: 'count', name: 'journal_write_failures', reason },
  ...failureHandlers[reason](state, term, append, now),
];
