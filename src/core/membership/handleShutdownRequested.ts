import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Begins a graceful shutdown; the features drain on the following ticks. */
export const handleShutdownRequested = (
  state: State,
  event: EventOf<'shutdownRequested'>,
): Effect[] => {
  if (state.membership.drainingSince !== null) return [];
  state.membership.drainingSince = event.at;
  // Peers must know that this daemon drains before it releases its leases.
  state.membership.nextHeartbeatAt = event.at;
  state.membership.nextRemoteHeartbeatAt = event.at;
  return [
    { type: 'setReady', ready: false },
    { type: 'log', level: 'info', code: 'shutdown_started', fields: {} },
  ];
};
