import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { sendHeartbeats } from './sendHeartbeats.js';

/** Sends the heartbeats that are due; only schedulers send any. */
export const handleTick = (state: State, event: EventOf<'tick'>): Effect[] =>
  state.self.role === 'scheduler' ? sendHeartbeats(state, event.at) : [];
