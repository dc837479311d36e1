import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { replicateBatch } from './replicateBatch.js';

/** Sends the batches again whose copy has not been acknowledged in time. */
export const retryReplicas = (state: State, at: number): Effect[] => {
  const { unreplicatedBatches: unreplicated, heldBatches: held } = state.usage;
  return [...unreplicated].flatMap((batchId) => {
    const batch = held.get(batchId);
    if (!batch || at - batch.replicaSentAt < state.timing.usageResendMs) return [];
    return replicateBatch(state, batch, at);
  });
};
