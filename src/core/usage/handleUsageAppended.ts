import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { acknowledgeRecord } from './acknowledgeRecord.js';

/** Removes the records that the log has acknowledged. */
export const handleUsageAppended = (state: State, event: EventOf<'logAppended'>): Effect[] =>
  Object.values(state.usage.appendQueues).flatMap((queue) => {
    if (queue.inFlight?.appendId !== event.appendId) return [];
    const { entries } = queue.inFlight;
    queue.inFlight = null;
    queue.backoffMs = 0;
    return entries.flatMap(({ batchId }) => acknowledgeRecord(state, batchId));
  });
