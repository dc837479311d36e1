import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { reportStored } from './reportStored.js';

/**
 * Notes that another VM holds a copy. A copy that is no longer needed, because the log has the
 * batch or another recorder answered first, is released so that it is not kept for ever.
 */
export const handleUsageReplicaAck = (
  state: State,
  event: EventOf<'usageReplicaAck'>,
): Effect[] => {
  const { held, unreplicated } = state.usage;
  const { from, batchId } = event;
  const batch = held.get(batchId);
  const needed = batch && (unreplicated.has(batchId) || batch.replica === from);
  if (!needed) return [{ type: 'send', to: from, message: { type: 'usageDurable', batchId } }];
  batch.replica = from;
  unreplicated.delete(batchId);
  return reportStored(state, batch);
};
