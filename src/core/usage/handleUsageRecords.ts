import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { takeBatch } from './takeBatch.js';
import { reportStored } from './reportStored.js';
import { sendOrEmit } from './sendOrEmit.js';

/**
 * Accepts a batch from a daemon. A batch that is sent again is answered again; if the log has
 * acknowledged it in the meantime, it is appended twice and readers drop the repeated ids.
 */
export const handleUsageRecords = (state: State, event: EventOf<'usageRecords'>): Effect[] => {
  const { from, batchId, records, at } = event;
  if (records.length === 0) return [sendOrEmit(state, from, { type: 'usageStored', batchId })];
  const batch = state.usage.heldBatches.get(batchId);
  if (!batch) return takeBatch(state, from, event, at);
  batch.sender = from;
  batch.storedReported = false;
  return state.usage.unreplicatedBatches.has(batchId) ? [] : reportStored(state, batch);
};
