import type { Effect } from '../Effect.js';
import type { State } from '../State.js';

/** New settings may let waiting jobs start. */
export const handleSettingsChanged = (state: State): Effect[] => {
  state.jobs.placementDue = true;
  return [];
};
