import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { updateRecordedRuns } from './updateRecordedRuns.js';

/** Adds new records to the outbox; the next due tick sends them. */
export const handleUsageNoted = (state: State, event: EventOf<'usageNoted'>): Effect[] => {
  event.records.forEach((record) => state.usage.unsentRecords.push(record));
  if (state.self.role === 'scheduler') state.usage.copies.unsent.push(...event.records);
  updateRecordedRuns(state.usage.recordedRuns, event.records);
  return event.records
    .filter(({ kind }) => kind === 'taskUnknown')
    .map(() => ({ type: 'count', name: 'record_unknown' }));
};
