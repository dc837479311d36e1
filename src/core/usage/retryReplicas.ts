import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { replicateBatch } from './replicateBatch.js';

/** Sends new copies of batches whose copy has not been acknowledged in time. */
export const retryReplicas = (state: State, at: number): Effect[] => {
  const { unreplicatedBatches, heldBatches } = state.usage;
  return [...unreplicatedBatches].flatMap((batchId) => {
    const batch = heldBatches.get(batchId);
    if (!batch || at - batch.replicaSentAt < state.timing.usageResendMs) return [];
    return replicateBatch(state, batch, at);
  });
};
