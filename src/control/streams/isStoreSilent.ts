import type { Now } from '../Now.js';
import type { State } from '../State.js';

// A read with its wait, its pause and an answer of a slow store; the lead's beats come sooner.
const silentMs = 1150;

/** Whether the store has not answered the read that is always open for longer than usual. */
export const isStoreSilent = (state: State, now: Now): boolean =>
  now.at - state.streams.journal.lastOkAt > silentMs;
