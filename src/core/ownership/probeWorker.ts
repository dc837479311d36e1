import { computeClaimRank } from '../membership/computeClaimRank.js';
import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { sendLeaseCall } from './sendLeaseCall.js';
import { isClaimable } from './isClaimable.js';
import type { WorkerLease } from './WorkerLease.js';

/** Claims a claimable worker after the delay of this scheduler's rank. */
export const probeWorker = (
  state: State,
  lease: WorkerLease,
  event: EventOf<'leaseAnswered'>,
): Effect[] => {
  if (!isClaimable(state, event.report, state.timing.claimMarginMs)) {
    lease.claimableSince = null;
    return [];
  }
  lease.claimableSince ??= event.at;
  const claimAt =
    lease.claimableSince + computeClaimRank(state, event.at) * state.timing.rankDelayMs;
  if (event.at < claimAt) {
    lease.nextCallAt = Math.min(lease.nextCallAt, claimAt);
    return [];
  }
  lease.status = 'claiming';
  return sendLeaseCall(state, lease, 'claim', event.at);
};
