import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { getNodeRole } from '../getNodeRole.js';
import type { State } from '../State.js';
import { listUnstoredRecords } from './listUnstoredRecords.js';

/** Schedules copies of all unstored records when a scheduler of the zone connects. */
export const handleSchedulerLinked = (state: State, event: EventOf<'linkOpened'>): Effect[] => {
  const { self, usage } = state;
  const isPeer = getNodeRole(event.node) === 'scheduler' && event.zone === self.zone;
  if (self.role === 'scheduler' && isPeer) usage.copies.unsent = listUnstoredRecords(usage);
  return [];
};
