import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Holds another scheduler's records until they are stored. O(held copies). */
export const handleUsageCopy = (state: State, event: EventOf<'usageCopy'>): Effect[] => {
  const { heldByScheduler } = state.usage.copies;
  const { sequence, records, storedBefore } = event;
  const copies = [...(heldByScheduler.get(event.from) ?? []), { sequence, records }];
  heldByScheduler.set(
    event.from,
    copies.filter((copy) => copy.sequence >= storedBefore && copy.records.length > 0),
  );
  return [];
};
