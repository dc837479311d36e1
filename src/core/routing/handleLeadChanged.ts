import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

// Covers the time that a copy spends on its way before the receiver counts it.
const copyDelayMarginMs = 1000;

const hasCompleteKeys = (state: State, at: number): boolean => {
  const { aloneAfterMs } = state.timing;
  if (at - state.replication.lastCompleteCopyAt < aloneAfterMs - copyDelayMarginMs) return true;
  const leases = [...state.ownership.leases.values()];
  return leases.filter((lease) => lease.soleHolder).length * 2 > leases.length;
};

/** Decides, on gaining the lead, whether every key of the retention time is known here. */
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
