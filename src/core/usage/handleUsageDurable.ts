import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Deletes the copy of a batch that the log has acknowledged. */
export const handleUsageDurable = (state: State, event: EventOf<'usageDurable'>): Effect[] => {
  state.usage.replicas.delete(event.batchId);
  state.usage.orphanedReplicas.delete(event.batchId);
  return [];
};
