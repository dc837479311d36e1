import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { listUndrainedWorkers } from '../ownership/listUndrainedWorkers.js';
import type { State } from '../State.js';

// Covers the delivery time of a copy; the receiver measures its age only from the arrival.
const copyDelayMarginMs = 1000;

const hasCompleteKeys = (state: State, at: number): boolean => {
  const { aloneAfterMs } = state.timing;
  if (at - state.replication.lastCompleteCopyAt < aloneAfterMs - copyDelayMarginMs) return true;
  // If no other scheduler has held most of the workers since their registration, no earlier lead is
  // assumed to have granted keys. The majority is the one that makes a lead.
  const undrained = listUndrainedWorkers(state);
  const soleCount = undrained.filter((id) => state.ownership.leases.get(id)?.soleHolder).length;
  return soleCount * 2 > undrained.length;
};

/** Refuses keyed requests for the retention time if a new lead may not know all earlier keys. */
export const handleLeadChanged = (state: State, event: EventOf<'leadChanged'>): Effect[] => {
  if (!event.lead || hasCompleteKeys(state, event.at)) return [];
  state.routing.keysRefusedUntil = event.at + state.timing.keyRetentionMs;
  return [
    {
      type: 'log',
      level: 'warn',
      code: 'key_memory_lost',
      fields: { refusedForMs: state.timing.keyRetentionMs },
    },
  ];
};
