import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { State } from '../State.js';
import type { PendingAppend } from './PendingAppend.js';

// Longer than a slow store takes to answer. Retries are safe: the store answers them like the first
// attempt.
const appendTimeoutMs = 700;

/** Sends the first or a repeated attempt of an append. */
export const sendAppend = (state: State, term: Term, append: PendingAppend): Effect[] => {
  state.lastCallId += 1;
  append.appendId = state.lastCallId;
  append.nextAttemptAt = null;
  return [
    {
      type: 'append',
      appendId: append.appendId,
      stream: append.stream,
      records: append.units.flatMap(({ records }) => records),
      condition: { type: 'fenced', token: term.token, sequence: append.sequence },
      timeoutMs: appendTimeoutMs,
    },
  ];
};
