import type { Effect } from '../Effect.js';
import type { State } from '../State.js';

/** A gateway becomes ready with its first settings tree, unless it is shutting down. */
export const handleSettingsChanged = (state: State): Effect[] =>
  state.self.role === 'gateway' && state.membership.drainingSince === null
    ? [{ type: 'setReady', ready: true }]
    : [];
