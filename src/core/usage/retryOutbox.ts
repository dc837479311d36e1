import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { sendOrEmit } from './sendOrEmit.js';

/** Sends batches again that the recorder has not reported as stored in time. */
export const retryOutbox = (state: State, at: number): Effect[] => {
  const { usage, timing, self, membership } = state;
  const recorder = `${self.vmId}/recorder` as const;
  // A message to a disconnected recorder would be dropped.
  if (membership.peers.get(recorder)?.linked === false) return [];
  return [...usage.sentBatches].flatMap(([batchId, batch]) => {
    if (at - batch.sentAt < timing.usageResendMs) return [];
    batch.sentAt = at;
    const { records } = batch;
    return [sendOrEmit(state, recorder, { type: 'usageRecords', batchId, records })];
  });
};
