import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { reportStored } from './reportStored.js';

/** Counts one record of a batch as acknowledged by the log; the last one completes the batch. */
export const acknowledgeRecord = (state: State, batchId: string): Effect[] => {
  const { heldBatches, unreplicatedBatches } = state.usage;
  const batch = heldBatches.get(batchId);
  if (!batch) return [];
  batch.unacknowledgedCount -= 1;
  if (batch.unacknowledgedCount > 0) return [];
  heldBatches.delete(batchId);
  unreplicatedBatches.delete(batchId);
  const message = { type: 'usageDurable', batchId } as const;
  return [
    ...reportStored(state, batch),
    ...[...batch.copyHolders].map((to) => ({ type: 'send' as const, to, message })),
  ];
};
