import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { takeBatch } from './takeBatch.js';

/** Takes over the copies whose origin has been silent for too long. */
export const adoptReplicas = (state: State, at: number): Effect[] => {
  const { replicas, orphanedReplicas: detached, heldBatches: held } = state.usage;
  return [...detached].flatMap((batchId) => {
    const copy = replicas.get(batchId);
    if (copy && (copy.adoptAt ?? Infinity) > at) return [];
    detached.delete(batchId);
    replicas.delete(batchId);
    if (!copy || held.has(batchId)) return [];
    const fields = { batchId, origin: copy.origin, records: copy.records.length };
    return [
      { type: 'log', level: 'warn', code: 'usage_copy_adopted', fields },
      ...takeBatch(state, null, copy, at),
    ];
  });
};
