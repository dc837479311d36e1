import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/**
 * Notes the records held for a scheduler whose link was lost as its own. If that scheduler lives,
 * both store them, and the ids make each count once.
 */
export const handleSchedulerLost = (state: State, event: EventOf<'linkClosed'>): Effect[] => {
  const { heldByScheduler } = state.usage.copies;
  const records = (heldByScheduler.get(event.node) ?? []).flatMap((copy) => copy.records);
  heldByScheduler.delete(event.node);
  return records.length === 0 ? [] : [{ type: 'emit', event: { type: 'usageNoted', records } }];
};
