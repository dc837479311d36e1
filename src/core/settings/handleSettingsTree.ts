import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { applySnapshot } from './applySnapshot.js';

/** Applies settings that a recorder sent. */
export const handleSettingsTree = (state: State, event: EventOf<'settingsTree'>): Effect[] =>
  applySnapshot(state, event.snapshot);
