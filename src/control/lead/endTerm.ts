import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { closeStream } from '../streams/closeStream.js';

/** Ends this VM's term and discards all of its state. */
export const endTerm = (
  state: State,
  reason: 'higher-token' | 'worker-fenced' | 'journal-fenced' | 'resigned' | 'internal-error',
  now: Now,
): Effect[] => {
  const { term } = state;
  if (!term) return [];
  state.term = null;
  state.leader.lastSeenAt = now.responsiveAt;
  closeStream(state, 'runs');
  closeStream(state, 'workers');
  const fields = { token: term.token, reason, lastedMs: Math.round(now.at - term.startedAt) };
  return [
    { type: 'count', name: 'terms_ended', reason },
    { type: 'log', level: 'info', code: 'term_ended', fields },
  ];
};
