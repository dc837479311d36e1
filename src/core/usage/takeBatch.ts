import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';
import { replicateBatch } from './replicateBatch.js';
import type { StoredRecord } from './StoredRecord.js';
import { streamByKind } from './streamByKind.js';

/**
 * Makes this recorder hold a batch: queues its records for the log and sends a copy to another VM's
 * recorder.
 */
export const takeBatch = (
  state: State,
  from: NodeId | null,
  { batchId, records }: { batchId: string; records: StoredRecord[] },
  at: number,
): Effect[] => {
  const { heldBatches, unreplicatedBatches, appendQueues } = state.usage;
  const batch = {
    batchId,
    records,
    sender: from,
    storedReported: false,
    replica: null,
    replicaSentAt: -Infinity,
    copyHolders: new Set<NodeId>(),
    unacknowledgedCount: records.length,
  };
  heldBatches.set(batchId, batch);
  unreplicatedBatches.add(batchId);
  records.forEach((record) =>
    appendQueues[streamByKind[record.kind]].waiting.push({ batchId, record }),
  );
  return replicateBatch(state, batch, at);
};
