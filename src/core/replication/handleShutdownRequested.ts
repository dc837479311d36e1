import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { replicateChanges } from './replicateChanges.js';

/** Sends the last changes before this scheduler ends. */
export const handleShutdownRequested = (
  state: State,
  event: EventOf<'shutdownRequested'>,
): Effect[] => {
  const { changedKeys, freedKeys, changedJobs } = state.replication;
  const hasChanges = changedKeys.size + freedKeys.size + changedJobs.size > 0;
  return state.self.role === 'scheduler' && hasChanges ? replicateChanges(state, event.at) : [];
};
