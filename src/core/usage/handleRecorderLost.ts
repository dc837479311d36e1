import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/**
 * Handles the disconnection of another recorder: batches that it held a copy of need a new one, and
 * its own batches are adopted unless it sends them again in time. A new connection alone doesn't
 * show whether the same process has returned, so only a repeated copy cancels the adoption.
 */
export const handleRecorderLost = (state: State, event: EventOf<'linkClosed'>): Effect[] => {
  const { heldBatches, unreplicatedBatches, replicas, orphanedReplicas } = state.usage;
  heldBatches.forEach((batch) => {
    batch.copyHolders.delete(event.node);
    if (batch.replica !== event.node) return;
    batch.replica = null;
    batch.replicaSentAt = -Infinity;
    unreplicatedBatches.add(batch.batchId);
  });
  replicas.forEach((replica) => {
    if (replica.origin !== event.node || replica.adoptAt !== null) return;
    replica.adoptAt = event.at + state.timing.aloneAfterMs;
    orphanedReplicas.add(replica.batchId);
  });
  return [];
};
