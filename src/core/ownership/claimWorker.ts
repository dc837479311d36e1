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
    // A failed claim or a delayed renewal of this process may have overwritten another holder's
    // name. No other scheduler can have claimed within one lease after the newest acknowledged
    // renewal.
    const leaseEndsAt = lease.renewalSentAt + state.timing.holderLeaseMs;
    return lease.soleHolder && event.at - ageMs < leaseEndsAt;
  }
  // A worker process that started after the registration may have lost the record of a holder.
  // Only one that was up before it proves that there was none.
  return (
    holder === null && lastWithoutWorkersAt !== null && event.at - ageMs <= lastWithoutWorkersAt
  );
};

/**
 * Takes over a worker if its answer to the claim came in time and shows no valid lease of another
 * holder.
 */
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
