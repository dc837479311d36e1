import type { Effect } from '../Effect.js';
import type { State } from '../State.js';

/** Requests a placement pass, because new settings may allow queued jobs to start. */
export const handleSettingsChanged = (state: State): Effect[] => {
  state.jobs.placementDue = true;
  return [];
};
