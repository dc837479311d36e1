import type { Effect } from '../Effect.js';
import type { WorkerLease } from './WorkerLease.js';

/** Marks a worker as no longer held and notifies the other features. */
export const loseWorker = (lease: WorkerLease, reason: string): Effect[] => {
  lease.status = 'notHeld';
  lease.claimableSince = null;
  return [
    { type: 'emit', event: { type: 'workerLost', workerId: lease.workerId } },
    {
      type: 'log',
      level: 'warn',
      code: 'worker_lost',
      fields: { workerId: lease.workerId, reason },
    },
  ];
};
