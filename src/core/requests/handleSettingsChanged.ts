import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Marks a gateway as ready when it has settings, unless it is shutting down. */
export const handleSettingsChanged = (
  state: State,
  { snapshot }: EventOf<'settingsChanged'>,
): Effect[] =>
  state.self.role === 'gateway' && snapshot.version >= 0 && state.membership.drainingSince === null
    ? [{ type: 'setReady', ready: true }]
    : [];
