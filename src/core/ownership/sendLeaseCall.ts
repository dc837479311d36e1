import type { Effect } from '../Effect.js';
import { listRenewableTasks } from '../jobs/listRenewableTasks.js';
import type { State } from '../State.js';
import { getHolderName } from './getHolderName.js';
import type { LeasePurpose } from './LeasePurpose.js';
import type { WorkerLease } from './WorkerLease.js';

/** Sends a lease call to a worker and schedules the next one. O(tasks of the worker). */
export const sendLeaseCall = (
  state: State,
  lease: WorkerLease,
  purpose: LeasePurpose,
  at: number,
): Effect[] => {
  const worker = state.settings.inForce?.tree.zones[state.self.zone]?.workers[lease.workerId];
  if (!worker) return [];
  lease.callSentAt = at;
  lease.nextCallAt = at + state.timing.renewEveryMs;
  return [
    {
      type: 'callWorker',
      workerId: lease.workerId,
      url: worker.url,
      call: {
        kind: 'lease',
        purpose,
        sentAt: at,
        holder: getHolderName(state.self),
        leaseMs: state.timing.holderLeaseMs,
        taskLeaseMs: state.timing.taskLeaseMs,
        renewTasks: purpose === 'renew' ? listRenewableTasks(state, lease.workerId, at) : [],
      },
    },
  ];
};
