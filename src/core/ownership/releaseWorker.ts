import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { sendLeaseCall } from './sendLeaseCall.js';
import type { WorkerLease } from './WorkerLease.js';

/**
 * Releases a held worker, unless its newest renewal is unanswered. That renewal could arrive after
 * another scheduler's claim and restore this holder's name; the release would then free the worker
 * although the other scheduler holds it.
 */
export const releaseWorker = (state: State, lease: WorkerLease, at: number): Effect[] => {
  // The next call is due one interval after the newest one was sent.
  const isNewestRenewalAnswered =
    lease.renewalSentAt + state.timing.renewEveryMs >= lease.nextCallAt;
  return isNewestRenewalAnswered ? sendLeaseCall(state, lease, 'release', at) : [];
};
