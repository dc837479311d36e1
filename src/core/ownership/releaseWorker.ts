import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { sendLeaseCall } from './sendLeaseCall.js';
import type { WorkerLease } from './WorkerLease.js';

/**
 * Gives a held worker back, unless its newest renewal has no answer yet. That renewal could arrive
 * after another scheduler's claim and put this holder's name back, and the release after it would
 * then free the worker under its new holder.
 */
export const releaseWorker = (state: State, lease: WorkerLease, at: number): Effect[] => {
  // The next call is due this long after the newest one.
  const isNewestRenewalAnswered =
    lease.renewalSentAt + state.timing.renewEveryMs >= lease.nextCallAt;
  return isNewestRenewalAnswered ? sendLeaseCall(state, lease, 'release', at) : [];
};
