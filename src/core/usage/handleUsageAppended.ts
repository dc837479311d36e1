import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { acknowledgeRecord } from './acknowledgeRecord.js';

/** Releases the records that the log has acknowledged. */
export const handleUsageAppended = (state: State, event: EventOf<'logAppended'>): Effect[] =>
  Object.values(state.usage.appendQueues).flatMap((lane) => {
    if (lane.inFlight?.appendId !== event.appendId) return [];
    const { entries } = lane.inFlight;
    lane.inFlight = null;
    lane.backoffMs = 0;
    return entries.flatMap(({ batchId }) => acknowledgeRecord(state, batchId));
  });
