import type { Now } from '../Now.js';
import type { State } from '../State.js';

// A read with its wait, its pause and an answer of a slow store; the lead's beats come sooner.
const maxReadAgeMs = 1150;

/** Whether the store has not answered the read that is always open for longer than usual. */
export const isStoreUnresponsive = (state: State, now: Now): boolean =>
  now.at - state.streams.journal.lastSuccessAt > maxReadAgeMs;
