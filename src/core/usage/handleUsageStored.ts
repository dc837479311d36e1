import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Deletes a batch that the recorder has reported as stored. */
export const handleUsageStored = (state: State, event: EventOf<'usageStored'>): Effect[] => {
  state.usage.sentBatches.delete(event.batchId);
  return [];
};
