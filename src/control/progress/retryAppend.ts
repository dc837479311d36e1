import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { LeaderStream } from './LeaderStream.js';
import { sendAppend } from './sendAppend.js';

/** Repeats the open append to a stream when its next attempt is due. */
export const retryAppend = (state: State, term: Term, stream: LeaderStream, now: Now): Effect[] => {
  const { pending: write } = term.writers[stream];
  const due = write !== null && write.nextAttemptAt !== null && now.at >= write.nextAttemptAt;
  return due ? sendAppend(state, term, write) : [];
};
