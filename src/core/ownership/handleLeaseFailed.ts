import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Clears a failed lease call; a held worker stays held until its lease lapses. */
export const handleLeaseFailed = (state: State, event: EventOf<'leaseFailed'>): Effect[] => {
  const lease = state.ownership.leases.get(event.workerId);
  if (!lease || lease.callSentAt !== event.sentAt) return [];
  lease.callSentAt = null;
  lease.claimableSince = null;
  if (lease.status === 'claiming') lease.status = 'notHeld';
  return [];
};
