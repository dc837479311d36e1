import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { LeaderStream } from './LeaderStream.js';
import { sendAppend } from './sendAppend.js';

/** Retries the pending append to a stream when its next attempt is due. */
export const retryAppend = (state: State, term: Term, stream: LeaderStream, now: Now): Effect[] => {
  const { pending: append } = term.writers[stream];
  const isDue = append !== null && append.nextAttemptAt !== null && now.at >= append.nextAttemptAt;
  return isDue ? sendAppend(state, term, append) : [];
};
