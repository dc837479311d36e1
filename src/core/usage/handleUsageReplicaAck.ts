import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { reportStored } from './reportStored.js';

/**
 * Marks a batch as replicated; a second copy is released. An acknowledgement of an unknown batch is
 * ignored, because it may belong to an earlier process of this recorder, of whose records only that
 * copy is left.
 */
export const handleUsageReplicaAck = (
  state: State,
  event: EventOf<'usageReplicaAck'>,
): Effect[] => {
  const { heldBatches, unreplicatedBatches } = state.usage;
  const { from, batchId } = event;
  const batch = heldBatches.get(batchId);
  if (!batch) return [];
  if (!unreplicatedBatches.has(batchId) && batch.replica !== from) {
    batch.copyHolders.delete(from);
    return [{ type: 'send', to: from, message: { type: 'usageDurable', batchId } }];
  }
  batch.replica = from;
  batch.copyHolders.add(from);
  unreplicatedBatches.delete(batchId);
  return reportStored(state, batch);
};
