import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { chooseReplica } from './chooseReplica.js';
import type { HeldBatch } from './HeldBatch.js';

/**
 * Sends a copy to another VM's recorder, preferably not the one that did not acknowledge the last
 * copy.
 */
export const replicateBatch = (state: State, batch: HeldBatch, at: number): Effect[] => {
  batch.replica = chooseReplica(state, batch.replica);
  if (batch.replica === null) return [];
  batch.replicaSentAt = at;
  batch.copyHolders.add(batch.replica);
  const { batchId, records, replica } = batch;
  return [{ type: 'send', to: replica, message: { type: 'usageReplica', batchId, records } }];
};
