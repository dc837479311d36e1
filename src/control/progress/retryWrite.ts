import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { LeadStream } from './LeadStream.js';
import { sendWrite } from './sendWrite.js';

/** Repeats the open append to a stream when its next attempt is due. */
export const retryWrite = (state: State, term: Term, stream: LeadStream, now: Now): Effect[] => {
  const { write } = term.writers[stream];
  const due = write !== null && write.retryAt !== null && now.at >= write.retryAt;
  return due ? sendWrite(state, term, write) : [];
};
