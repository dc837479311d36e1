import type { State } from '../State.js';

/** Whether this scheduler may act on a worker at the given monotonic time. */
export const isHeld = (state: State, workerId: string, at: number): boolean => {
  const lease = state.ownership.leases.get(workerId);
  return lease?.status === 'held' && at < lease.renewedAt + state.timing.holderLeaseMs;
};
