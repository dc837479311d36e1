import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { sendLeaseCall } from './sendLeaseCall.js';
import { dropLapsedLease } from './dropLapsedLease.js';
import { countHeldWorkers } from './countHeldWorkers.js';
import { updateLead } from './updateLead.js';
import type { WorkerLease } from './WorkerLease.js';

const callIfDue = (state: State, lease: WorkerLease, at: number): Effect[] => {
  const { callSentAt } = lease;
  const isCallPending = callSentAt !== null && at - callSentAt < state.timing.workerCallTimeoutMs;
  if (isCallPending || at < lease.nextCallAt || state.membership.drainingSince !== null) return [];
  // A claim without an answer counts as failed. If it took effect, the worker names this holder and
  // becomes claimable when that lease lapses.
  if (lease.status === 'claiming') lease.status = 'notHeld';
  return sendLeaseCall(state, lease, lease.status === 'held' ? 'renew' : 'probe', at);
};

/** Renews held workers and probes the others when due. O(workers of the zone). */
export const handleTick = (state: State, event: EventOf<'tick'>): Effect[] => {
  if (state.self.role !== 'scheduler') return [];
  const leases = [...state.ownership.leases.values()];
  return [
    ...leases.flatMap((lease) => dropLapsedLease(state, lease, event.at)),
    ...leases.flatMap((lease) => callIfDue(state, lease, event.at)),
    ...updateLead(state, event.at),
    { type: 'gauge', name: 'held_workers', value: countHeldWorkers(state, event.at) },
  ];
};
