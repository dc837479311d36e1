import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { State } from '../State.js';
import type { PendingWrite } from './PendingWrite.js';

// Beyond an answer of a slow store; a repeated append is answered as the first.
const appendTimeoutMs = 700;

/** Sends an append of the lead, for the first time or again. */
export const sendWrite = (state: State, term: Term, write: PendingWrite): Effect[] => {
  state.lastCallId += 1;
  write.appendId = state.lastCallId;
  write.retryAt = null;
  return [
    {
      type: 'append',
      appendId: write.appendId,
      stream: write.stream,
      records: write.records,
      condition: { type: 'fenced', token: term.token, sequence: write.sequence },
      timeoutMs: appendTimeoutMs,
    },
  ];
};
