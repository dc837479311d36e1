import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { isLead } from '../ownership/isLead.js';
import type { State } from '../State.js';
import { replicateChanges } from './replicateChanges.js';

/**
 * Sends the pending changes of the lead. Without changes, an empty copy at intervals tells the
 * peers that their copy is complete.
 */
export const handleTick = (state: State, event: EventOf<'tick'>): Effect[] => {
  if (state.self.role !== 'scheduler' || !isLead(state, event.at)) return [];
  const { changedKeys, freedKeys, changedJobs, nextCopyAt } = state.replication;
  const hasChanges = changedKeys.size + freedKeys.size + changedJobs.size > 0;
  return hasChanges || event.at >= nextCopyAt ? replicateChanges(state, event.at) : [];
};
