import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Answers a daemon whose settings are older than this one's. */
export const handleSettingsQuery = (state: State, event: EventOf<'settingsQuery'>): Effect[] => {
  const snapshot = state.settings.inForce;
  if (snapshot === null || snapshot.version <= event.version) return [];
  return [{ type: 'send', to: event.from, message: { type: 'settingsTree', snapshot } }];
};
