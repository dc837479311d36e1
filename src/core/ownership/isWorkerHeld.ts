import type { State } from '../State.js';

/**
 * Tells whether this scheduler may act on a worker at a monotonic time. The lease counts from the
 * send time of the newest acknowledged renewal, so it ends here before the worker considers it
 * lapsed.
 */
export const isWorkerHeld = (state: State, workerId: string, at: number): boolean => {
  const lease = state.ownership.leases.get(workerId);
  return lease?.status === 'held' && at < lease.renewalSentAt + state.timing.holderLeaseMs;
};
