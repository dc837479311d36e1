import type { State } from '../State.js';

/** Lets the next tick renew a held worker, without waiting for the rest of the interval. */
export const scheduleRenewal = (state: State, workerId: string, at: number): void => {
  const lease = state.ownership.leases.get(workerId);
  if (lease?.status === 'held') lease.nextCallAt = Math.min(lease.nextCallAt, at);
};
