import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { claimWorker } from './claimWorker.js';
import type { LeasePurpose } from './LeasePurpose.js';
import { probeWorker } from './probeWorker.js';
import { renewWorker } from './renewWorker.js';
import type { WorkerLease } from './WorkerLease.js';

type AnswerHandler = (
  state: State,
  lease: WorkerLease,
  event: EventOf<'leaseAnswered'>,
) => Effect[];

const answerHandlers: Record<LeasePurpose, AnswerHandler> = {
  probe: probeWorker,
  claim: claimWorker,
  renew: renewWorker,
  release: () => [],
};

/** Handles a worker's answer to a lease call by the call's purpose. */
export const handleLeaseAnswered = (state: State, event: EventOf<'leaseAnswered'>): Effect[] => {
  const lease = state.ownership.leases.get(event.workerId);
  if (!lease || state.membership.drainingSince !== null) return [];
  if (lease.callSentAt === event.sentAt) lease.callSentAt = null;
  lease.leaving = event.report.leaving;
  // A delayed answer to an earlier call does not apply to the current status.
  const expectedPurpose = lease.status === 'claiming' ? 'claim' : null;
  if (event.purpose === 'probe' && lease.status !== 'notHeld') return [];
  if (event.purpose === 'claim' && expectedPurpose !== 'claim') return [];
  return answerHandlers[event.purpose](state, lease, event);
};
