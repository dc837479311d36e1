import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { dropLapsedLease } from './dropLapsedLease.js';
import type { WorkerLease } from './WorkerLease.js';

/**
 * Extends a lease that is still valid. Until it lapses, no other claim can succeed, whatever holder
 * the worker reports. After it has lapsed, only a new claim restores it.
 */
export const renewWorker = (
  state: State,
  lease: WorkerLease,
  event: EventOf<'leaseAnswered'>,
): Effect[] => {
  const lapseEffects = dropLapsedLease(state, lease, event.at);
  if (lapseEffects.length > 0) return lapseEffects;
  if (lease.status !== 'held') return [];
  const { workerId, report } = event;
  const hasRestarted = lease.incarnation !== report.incarnation;
  lease.renewalSentAt = Math.max(lease.renewalSentAt, event.sentAt);
  lease.incarnation = report.incarnation;
  const emitRenewed: Effect = { type: 'emit', event: { type: 'workerRenewed', workerId, report } };
  return hasRestarted
    ? [{ type: 'emit', event: { type: 'workerRestarted', workerId } }, emitRenewed]
    : [emitRenewed];
};
