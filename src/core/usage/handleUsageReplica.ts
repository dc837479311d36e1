import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Keeps a copy of another recorder's batch until the log has it. */
export const handleUsageReplica = (state: State, event: EventOf<'usageReplica'>): Effect[] => {
  const { from, batchId, records } = event;
  state.usage.replicas.set(batchId, { batchId, origin: from, records, adoptAt: null });
  state.usage.orphanedReplicas.delete(batchId);
  return [{ type: 'send', to: from, message: { type: 'usageReplicaAck', batchId } }];
};
