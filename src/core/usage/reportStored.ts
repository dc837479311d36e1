import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { HeldBatch } from './HeldBatch.js';
import { sendOrEmit } from './sendOrEmit.js';

/** Reports a batch as stored to its sender, once. */
export const reportStored = (state: State, batch: HeldBatch): Effect[] => {
  const { sender, batchId, storedReported } = batch;
  if (sender === null || storedReported) return [];
  batch.storedReported = true;
  return [sendOrEmit(state, sender, { type: 'usageStored', batchId })];
};
