import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { getHolderName } from './getHolderName.js';
import { isClaimable } from './isClaimable.js';
import { updateLead } from './updateLead.js';
import type { WorkerLease } from './WorkerLease.js';

const isSoleHolder = (
  state: State,
  lease: WorkerLease,
  event: EventOf<'leaseAnswered'>,
): boolean => {
  const { holder, ageMs } = event.report.lastRenewal;
  const { lastWithoutWorkersAt } = state.ownership;
  if (holder === getHolderName(state.self)) {
    // A lost claim, or a renewal that arrived late, may have put this name over another holder's.
    // Nobody can have claimed within a lease after the newest acknowledged renewal.
    const leaseEndsAt = lease.renewalSentAt + state.timing.holderLeaseMs;
    return lease.soleHolder && event.at - ageMs < leaseEndsAt;
  }
  // The process of a worker without a holder must have been up since before the registration;
  // otherwise it may have been held and has forgotten it.
  return (
    holder === null && lastWithoutWorkersAt !== null && event.at - ageMs <= lastWithoutWorkersAt
  );
};

/** Takes over a worker if its answer to the claim names no other holder. */
export const claimWorker = (
  state: State,
  lease: WorkerLease,
  event: EventOf<'leaseAnswered'>,
): Effect[] => {
  const isLeaseValid = event.at < event.sentAt + state.timing.holderLeaseMs;
  if (!isLeaseValid || !isClaimable(state, event.report, 0)) {
    lease.status = 'notHeld';
    lease.claimableSince = null;
    return [{ type: 'count', name: 'claim_lost' }];
  }
  lease.status = 'held';
  lease.soleHolder = isSoleHolder(state, lease, event);
  lease.renewalSentAt = event.sentAt;
  lease.incarnation = event.report.incarnation;
  const { workerId, report } = event;
  return [
    { type: 'emit', event: { type: 'workerClaimed', workerId, report } },
    { type: 'log', level: 'info', code: 'worker_claimed', fields: { workerId } },
    ...updateLead(state, event.at),
  ];
};
