import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/**
 * Takes over the records held for a disconnected scheduler. If that scheduler still runs, both
 * store them and readers drop the repeated ids.
 */
export const handleSchedulerLost = (state: State, event: EventOf<'linkClosed'>): Effect[] => {
  const { heldByScheduler } = state.usage.copies;
  const records = (heldByScheduler.get(event.node) ?? []).flatMap((copy) => copy.records);
  heldByScheduler.delete(event.node);
  return records.length === 0 ? [] : [{ type: 'emit', event: { type: 'usageNoted', records } }];
};
