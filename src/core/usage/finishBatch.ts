import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { reportStored } from './reportStored.js';

/** Counts one record of a batch as stored in the log; the last one ends the batch. */
export const finishBatch = (state: State, batchId: string): Effect[] => {
  const { held, unreplicated } = state.usage;
  const batch = held.get(batchId);
  if (!batch) return [];
  batch.remaining -= 1;
  if (batch.remaining > 0) return [];
  held.delete(batchId);
  unreplicated.delete(batchId);
  const message = { type: 'usageDurable', batchId } as const;
  return [
    ...reportStored(state, batch),
    ...[...batch.copies].map((to) => ({ type: 'send' as const, to, message })),
  ];
};
