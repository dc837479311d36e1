import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/**
 * Reacts to the loss of another recorder's link: batches that it copied need a new copy, and its
 * own batches are appended here unless it sends them again in time. The link alone cannot show
 * whether the same process or a restarted one returns, so only a repeated copy ends the wait.
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
