import type { Effect } from '../Effect.js';
import { refuse } from '../refuse.js';
import type { State } from '../State.js';
import { refuseWaiting } from './refuseWaiting.js';
import { removeWaiting } from './removeWaiting.js';

/** Returns waiting requests to their gateways, which ask the successor. */
export const handleShutdownRequested = (state: State): Effect[] => {
  if (state.self.role !== 'scheduler') return [];
  return removeWaiting(state, () => true).flatMap((request) =>
    refuseWaiting(request, refuse('shutting-down')),
  );
};
