import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { takeBatch } from './takeBatch.js';

/** Adopts the copies whose origin did not send them again in time after a disconnection. */
export const adoptReplicas = (state: State, at: number): Effect[] => {
  const { replicas, orphanedReplicas, heldBatches } = state.usage;
  return [...orphanedReplicas].flatMap((batchId) => {
    const replica = replicas.get(batchId);
    if (replica && (replica.adoptAt ?? Infinity) > at) return [];
    orphanedReplicas.delete(batchId);
    replicas.delete(batchId);
    if (!replica || heldBatches.has(batchId)) return [];
    const fields = { batchId, origin: replica.origin, records: replica.records.length };
    return [
      { type: 'log', level: 'warn', code: 'usage_copy_adopted', fields },
      ...takeBatch(state, null, replica, at),
    ];
  });
};
