import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/**
 * Starts a recovery if this scheduler becomes lead without a recent copy of the jobs; stops it if
 * this scheduler is no longer lead.
 */
export const handleLeadChanged = (state: State, event: EventOf<'leadChanged'>): Effect[] => {
  const { recovery, replication, timing } = state;
  const hasRecentCopy = event.at - replication.lastCompleteCopyAt < timing.aloneAfterMs;
  recovery.nextQueryAt = event.lead && !hasRecentCopy ? event.at : null;
  recovery.pendingJobs = [];
  recovery.nextReappendAt = event.lead ? event.at + timing.logRetentionMs / 3 : Infinity;
  return [];
};
