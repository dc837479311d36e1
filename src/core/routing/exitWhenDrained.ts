import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { hasUnstoredRecords } from '../usage/hasUnstoredRecords.js';

// Time for the last replication, release and refusal messages to be sent.
const lingerMs = 1000;

/**
 * Ends a draining scheduler when its grants are closed and its records are stored, or after
 * `shutdownMs`.
 */
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
