import type { Now } from '../Now.js';
import type { State } from '../State.js';

// One journal read with its wait, the delay between reads and a slow answer of the store; the leader's
// heartbeats usually end the wait sooner.
const maxSilenceMs = 1150;

/** Whether the store has not answered the continuous reads of the journal for longer than usual. */
export const isStoreUnresponsive = (state: State, now: Now): boolean =>
  now.responsiveAt - state.streams.journal.lastHeardAt > maxSilenceMs;
