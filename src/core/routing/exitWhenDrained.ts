import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { hasUnstoredRecords } from '../usage/hasUnstoredRecords.js';

// Lets the last replication, release and refusal messages leave before the process ends.
const lingerMs = 1000;

/** Ends a draining scheduler when no grant of its own is open and its records are stored, or at the shutdown bound. */
export const exitWhenDrained = (state: State, at: number): Effect[] => {
  const { membership, routing, timing } = state;
  const drainStartedAt = membership.drainingSince;
  if (drainStartedAt === null || membership.exited || at - drainStartedAt < lingerMs) return [];
  const hasOpenWork = routing.grants.size > 0 || hasUnstoredRecords(state.usage);
  if (hasOpenWork && at - drainStartedAt < timing.shutdownMs) return [];
  membership.exited = true;
  return [
    {
      type: 'log',
      level: 'info',
      code: 'shutdown_finished',
      fields: { openGrants: routing.grants.size },
    },
    { type: 'exit' },
  ];
};
