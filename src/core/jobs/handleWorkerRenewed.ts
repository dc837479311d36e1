import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { reconcileReport } from './reconcileReport.js';

/** Reconciles the tasks of a held worker with the known ones. Cost: that of `reconcileReport`. */
export const handleWorkerRenewed = (state: State, event: EventOf<'workerRenewed'>): Effect[] => {
  const sentAt = state.ownership.leases.get(event.workerId)?.renewalSentAt ?? -Infinity;
  state.jobs.lastHeardByWorker.set(event.workerId, event.at);
  return reconcileReport(state, event.workerId, event.report, event, sentAt);
};
